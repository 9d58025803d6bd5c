package kelphollow.lab;

import java.util.List;
import java.util.Locale;

/**
 * The parties, load and faults of a run. Times are in milliseconds.
 *
 * @param instances number of processes of the program; they are named i0, i1 and so on
 * @param nodes number of storage nodes, named n0, n1 and so on, each of which holds one cell
 * @param period length of a membership round
 * @param sharesFindings whether instances tell each other which nodes are unresponsive
 * @param shedsLoad whether an instance sheds requests of lower priority weight because of rejections at others
 * @param retryShare bound on the ratio of retries to first attempts at each node, as configured in the instances
 * @param limit rate limit of the volume over all instances
 * @param nodeCapacity capacity of each node
 * @param rate requests per second over all instances, open loop
 * @param writeShare share of the requests that are writes, which must not run twice
 * @param retries how often a client retries a failed read; it retries at once and ignores the advised delay
 * @param gold instances whose clients use the volume with three times the priority weight
 * @param steps faults, in order; each waits for its condition
 * @param calm how long all instances must agree on membership before the run ends
 */
record Scenario(String name, int instances, int nodes, double period, boolean sharesFindings, boolean shedsLoad,
                double retryShare, Limit limit, NodeCapacity nodeCapacity, double rate, double writeShare, int retries,
                List<String> gold, List<Step> steps, double calm) {
    /** Rate limit of the volume, in units per second and units; a rate of 0 means no limit. */
    record Limit(double rate, double burst, double slack) {}

    /**
     * A request occupies one of a node's cores for {@code service} ms; with 0 it takes no time. A node with {@code queue}
     * waiting requests answers 503 to further ones.
     */
    record NodeCapacity(double service, int cores, int queue) {}

    /** What a step does; scenario files hold the name in lower case with hyphens. */
    enum Action {
        KILL, STOP, CONT, RESTART, CUT, HEAL, NET, SILENT_NODE, FAILING_NODE, SLOW_NODE, NODE_BACK, LOAD, DRAIN, UNDRAIN,
        DISCOVERY_DOWN, DISCOVERY_UP, NOISE, REPLAY, STARVE, FEED, LEAVE, NOTHING
    }

    /** What a step waits for; scenario files hold the name in lower case. */
    enum Condition {
        /** All running instances see exactly each other as alive. */
        AGREE,
        /** {@code count} events of the given kind were reported since the last step. */
        SEEN,
        /** {@code count} requests were served since the step began to wait. */
        SERVED,
        /** {@code count} milliseconds passed since the step began to wait. */
        AFTER
    }

    /** Returns the spelling of an enum constant in scenario files. */
    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * One step of a scenario: a condition to wait for, then an action.
     *
     * @param timeout the step fails, and with it the run, if its condition is not met by then
     * @param event for {@code SEEN}: the kind of event
     * @param of for {@code SEEN}: the instance that the event is about, or empty for any
     * @param who the instances or nodes that the action applies to; for a cut, one side of it
     * @param from for a cut: the other side, where empty means all others; for a drain: the nodes
     * @param lostStore for a restart: whether the store is deleted
     * @param clockOffset for a restart: shift of the wall clock of the new process
     * @param oneWay for a cut: only messages from {@code who} to {@code from} are lost
     * @param by for load: requests per second from now on; for a slow node: the factor of its service time
     */
    record Step(Condition condition, String event, String of, double count, double timeout, Action action, List<String> who,
                List<String> from, boolean lostStore, double clockOffset, boolean oneWay, double by, LinkQuality link) {
        /** Returns a step that waits until all instances agree and does nothing. */
        static Step agree(double timeout) {
            return new Step(Condition.AGREE, "", "", 0, timeout, Action.NOTHING, List.of(), List.of(), false, 0, false, 0,
                LinkQuality.GOOD);
        }
    }

    /** Quality of a link for datagrams: shares lost and duplicated, delay, and a random extra delay that reorders them. */
    record LinkQuality(double loss, double duplicate, double delay, double jitter) {
        static final LinkQuality GOOD = new LinkQuality(0, 0, 0, 0);
    }
}
