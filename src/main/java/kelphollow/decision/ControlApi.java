package kelphollow.decision;

import java.util.List;
import java.util.Map;

/**
 * The interface of the decision module {@link Control}: the settings it is started with, the events it is
 * told and the actions it answers with. Times are milliseconds on the host's clock, work is in units.
 */
public final class ControlApi {
    private ControlApi() {}

    /** Whether a request of a class may run more than once. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** Which nodes throw away repeats of a keyed request. */
    public enum Group { ALL, ZONE, CELL }

    /** A class of requests. {@code window} is how long repeats of a keyed one are remembered. */
    public record RequestClass(String name, double aim, double deadline, double worth, double lateShare,
                               Effect effect, Group group, double window, boolean ordered, boolean streaming) {}

    /** A plan; figures hold per volume over all hosts. A {@code limitRate} of 0 means no limit. */
    public record Plan(String name, double rate, double reserve, double weight, double price,
                       double limitRate, double limitBurst, double limitSlack) {}

    /** The figures of the rules. A {@code budgetWindow} of 0 means that further attempts are not counted. */
    public record Rules(double drainGrace, double coldShare, double coldTime, double fallMultiple,
                        double fallTime, double coldUnits, double keyRest, double budgetFree,
                        double budgetShare, double budgetWindow, double askEvery) {}

    /** All that an instance is told at its start. A {@code maxRetryAfter} of 0 means that clients heed no advice. */
    public record Settings(int host, int hosts, String zone, double tick, int maxAttempts, int maxOpen,
                           boolean mayCancel, boolean listMustBeAsked, double maxRetryAfter, double unitMean,
                           double shareWorth, double beyondWorth,
                           List<RequestClass> classes, List<Plan> plans, Rules rules) {}

    /** What the list says of a node. */
    public enum Phase { HEALTHY, DRAINING, GONE }

    /** One line of the node list. {@code born} is the clock time of its last start, 0 when long past. */
    public record NodeEntry(String node, String zone, int cell, Phase phase, double born) {}

    /** How an attempt ended. */
    public enum Outcome {
        SERVED, ERROR, FULL, TIMED_OUT, NO_CONNECTION, RESET, CANCELLED, NOT_SENT;

        /** True when this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == NO_CONNECTION || this == NOT_SENT;
        }

        /** True when one answer or one connection may be all that was lost: it is no sign of its node by itself. */
        public boolean mayBeAlone() {
            return this == TIMED_OUT || this == RESET;
        }
    }

    /** Something the instance is told. */
    public sealed interface Event {}

    /** The node list: changes only, or all of it ({@code whole}); {@code persisted} when it is from disk. */
    public record NodeList(List<NodeEntry> nodes, boolean whole, boolean persisted) implements Event {}

    /**
     * New settings: the classes known from now on (requests under way keep the class they came with) and the
     * attempts a request may have, at least 1.
     */
    public record Retuned(List<RequestClass> classes, int maxAttempts) implements Event {}

    /** How a call for the node list failed. */
    public enum ListFailure {
        /** A subscription that went on has broken, or it is not known what failed. */
        WATCH_BROKE,
        /** A call that was to begin a subscription was refused or reset. */
        NO_ANSWER,
        /** A call that was to begin a subscription reached its service, and nothing came back in time. */
        SILENT,
        /** The service answered that it would not serve the call that was to begin a subscription. */
        TURNED_AWAY,
        /** The service is there, but its answer cannot be used. */
        UNUSABLE_ANSWER
    }

    /** A call for the list failed, or the subscription broke. */
    public record ListFailed(ListFailure failure) implements Event {}

    /**
     * The list may be acted on until then, on the host's clock; nothing is sent after that until this is told anew. Where it
     * is never told, the list has no such bound.
     */
    public record ListLeased(double until) implements Event {}

    /** This instance ends soon: what is open at that time gets its final answer then. */
    public record Leaving(double by) implements Event {}

    /**
     * Nodes found silent elsewhere, all of them each time: each is tried by a trickle until it answers here, or until
     * it is no longer named.
     */
    public record Doubted(java.util.Set<String> nodes) implements Event {}

    /**
     * Further attempts at a node make up at most this share of the first ones that went there within the span; what finds
     * none left gets its final answer at once. Retries that clients mark count like further attempts. Such bounds of several
     * instances add up. A span of 0: no bound.
     */
    public record RepeatsBounded(double share, double span) implements Event {}

    /** The list comes from another service from now on. */
    public record ListMoved() implements Event {}

    /** What a life before has left of volumes' limits: units that this host's part of each store starts with. */
    public record LimitsLeft(Map<String, Double> levels) implements Event {}

    /** A request has come. {@code cell} is where its data lies, negative for a new object; {@code key} may
     *  be null; {@code again}: its client marks it as a retry of its own. */
    public record Arrival(String id, String requestClass, String plan, String key, double deadline,
                          String volume, double units, int cell, int hosts, boolean again) implements Event {
        /** One that is not marked. */
        public Arrival(String id, String requestClass, String plan, String key, double deadline, String volume,
            double units, int cell, int hosts) {
            this(id, requestClass, plan, key, deadline, volume, units, cell, hosts, false);
        }
    }

    /** The client has left; no answer is owed any more. */
    public record ClientGone(String id) implements Event {}

    /** A streamed answer has begun; it has no deadline from here on. */
    public record AnswerStarted(String id, int attempt) implements Event {}

    /** The node takes or gives a body just now: it is alive, however long the whole may last. */
    public record Progress(String id, int attempt) implements Event {}

    /** An attempt ended. {@code ended}: the request is finished. {@code elsewhere}: units this node served
     *  for the volume through other hosts since last told. {@code spent}: a body that cannot be had again has been
     *  used up, so the request cannot be sent any more. {@code usePercent}: use of the volume over all
     *  hosts in percent of its plan's rate, negative when not told. {@code report}: load figures, or empty. */
    public record AttemptDone(String id, int attempt, String node, Outcome outcome, double took,
                              boolean ended, boolean spent, double elsewhere, double usePercent,
                              Map<String, Double> report) implements Event {}

    /** A timer asked for with {@link SetTimer} is due. */
    public record TimerFired(String name) implements Event {}

    /** Why a request got a final answer without being served. */
    public enum Reason {
        /** Its class or plan is not known. */
        UNKNOWN_CLASS,
        /** Its volume's limit holds its units too late for it. */
        LIMIT,
        /** A retry of its client, and the node's bound on repeats is reached. */
        REPEATS_BOUND,
        /** It would come too late behind what is worth more. */
        OVERLOAD,
        /** No node took it within the part of its time for which it may be held. */
        NOT_PLACED,
        /** Its time is over, or this instance ends. */
        TIME_OVER,
        /** Its last attempt ended without an answer, and it may not be sent again. */
        NO_REPEAT
    }

    /** Something the instance decides. */
    public sealed interface Action {}

    /**
     * Send the next attempt of a request to a node; a {@code timeout} of 0 means until the client gives up. What has not
     * been begun to be written by the time {@code writeBy} must not be written any more (0: no such bound).
     */
    public record Send(String id, String node, double timeout, double writeBy) implements Action {}

    /** Final answer: refused, the client may safely try again, best after so many milliseconds (0: no advice). */
    public record Refuse(String id, double after, Reason reason) implements Action {}

    /** Final answer: failed, nothing is promised. */
    public record Fail(String id, Reason reason) implements Action {}

    /** Stop waiting for an attempt. */
    public record Cancel(String id, int attempt) implements Action {}

    /** Wake this instance at a time. */
    public record SetTimer(double at, String name) implements Action {}

    /** Ask for the list and all later changes. */
    public record Subscribe() implements Action {}
}
