package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.lab.soak.SoakHistory.AttemptArrived;
import kelphollow.lab.soak.SoakHistory.FaultLogged;
import kelphollow.lab.soak.SoakHistory.Incarnation;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;
import kelphollow.lab.soak.SoakHistory.ValueCut;

/**
 * Checks the history of a soak against the platform's rules: drains, lost requests, duplicate effects, rejections of
 * requests that may have run, attempts for clients that have left, propagated deadlines, process exits. Uses only the
 * history. Times are in milliseconds; {@code slack} is the delay that the machine of the run may have added.
 */
final class SoakChecker {
    /** A broken rule, when it was broken, and how. */
    record Breach(String rule, double at, String what) {
        @Override public String toString() {
            return String.format("%s at %.0f ms: %s", rule, at, what);
        }
    }

    private static final double DRAIN_GRACE_MS = 250;
    private static final double SOCKET_SLACK_MS = 50;
    private static final double ANSWER_SLACK_MS = 500;
    private static final double CLIENT_LEFT_SLACK_MS = 100;
    private static final double DEADLINE_SLACK_MS = 150;
    /** A request sent later than this after SIGTERM must be answered before the earliest SIGKILL. */
    private static final double SERVED_AFTER_TERM_MS = 700;
    /** The slack of a limit grows by what it allows in this time. */
    private static final double LIMIT_SLACK_MS = 150;
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Time from a request to the last byte of its value, with the time that may pass in the middle of it. */
    private static final double LONGEST_VALUE_MS = 20_000;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final SoakHistory history;
    private final double slack;
    private final ListKnowledge knowledge;
    private final List<Breach> breaches = new ArrayList<>();
    private final List<AttemptArrived> attempts;
    private final List<Incarnation> incarnations;
    private final Map<String, RequestSent> requests = new HashMap<>();
    private final Map<String, RequestEnded> ends = new HashMap<>();
    private final Map<String, List<AttemptArrived>> attemptsOf = new HashMap<>();

    private SoakChecker(SoakHistory history, double slack) {
        this.history = history;
        this.slack = slack;
        this.knowledge = new ListKnowledge(history, slack);
        this.attempts = history.all(AttemptArrived.class);
        this.incarnations = history.all(Incarnation.class);
        history.all(RequestSent.class).forEach(request -> requests.putIfAbsent(request.id(), request));
        history.all(RequestEnded.class).forEach(end -> ends.put(end.id(), end));
        attempts.forEach(attempt -> attemptsOf.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt));
    }

    /** Returns all breaches, in no particular order. */
    static List<Breach> check(SoakHistory history, double slack) {
        SoakChecker checker = new SoakChecker(history, slack);
        checker.checkDrains();
        checker.checkAnswers();
        checker.checkValues();
        checker.checkDuplicates();
        checker.checkAttemptsAfterEnd();
        checker.checkDeadlines();
        checker.checkExits();
        checker.checkLimits();
        return checker.breaches;
    }

    private void addBreach(String rule, double at, String what) {
        breaches.add(new Breach(rule, at, what));
    }

    private void checkDrains() {
        for (AttemptArrived attempt : attempts) {
            RequestSent request = requests.get(attempt.id());
            if (request == null) {
                addBreach("unknown", attempt.at(), "no client sent " + attempt.id());
                continue;
            }
            double processFrom = knowledge.processStartedAt(request.instance(), attempt.at());
            long notified = knowledge.notifiedVersion(request.instance(), processFrom,
                attempt.at() - DRAIN_GRACE_MS - SOCKET_SLACK_MS - slack);
            long written = knowledge.writtenVersion(request.instance(), processFrom, attempt.at());
            if (notified >= 0 && knowledge.isUnusable(attempt.node(), notified, Math.max(notified, written))) {
                addBreach("drain", attempt.at(), attempt.id() + " went to " + attempt.node()
                    + ", which is draining or removed since version " + notified + " or before; versions written up to "
                    + written);
            }
        }
    }

    private void checkAnswers() {
        for (RequestSent request : requests.values()) {
            RequestEnded end = ends.get(request.id());
            double limit = request.at() + request.patience() + ANSWER_SLACK_MS + slack;
            if (end == null || end.outcome() == Outcome.CLIENT_LEFT || wasKilledMeanwhile(request, limit)) {
                continue;
            }
            boolean reached = attemptsOf.containsKey(request.id());
            if (end.outcome() == Outcome.NO_ANSWER || end.at() > limit) {
                addBreach("lost", end.at(), request.id() + " had no answer in time, outcome " + end.outcome());
            } else if (end.outcome() == Outcome.CONNECTION_ENDED && reached) {
                addBreach("lost", end.at(), request.id() + " was forwarded, and its connection ended without an answer");
            }
        }
    }

    /** A value that has begun may only end early if its node ends it, or its process, which has then been told to end. */
    private void checkValues() {
        Set<String> endedByNode = new HashSet<>();
        history.all(ValueCut.class).stream().filter(ValueCut::byNode).forEach(cut -> endedByNode.add(cut.id()));
        for (RequestEnded end : ends.values()) {
            RequestSent request = requests.get(end.id());
            boolean excused = end.outcome() != Outcome.TRUNCATED || endedByNode.contains(end.id())
                || hasProcessEndedAfter(request.instance(), request.at());
            if (!excused) {
                addBreach("lost", end.at(), end.id() + " got the beginning of its value and not the rest");
            }
        }
    }

    private boolean hasProcessEndedAfter(int instance, double at) {
        return incarnations.stream().anyMatch(process -> process.instance() == instance && process.from() <= at
            && process.ended() >= at && process.ended() < at + LONGEST_VALUE_MS);
    }

    /** Whether its process was killed before the answer was due, without SIGTERM or later than it had to answer by then. */
    private boolean wasKilledMeanwhile(RequestSent request, double limit) {
        for (Incarnation process : incarnations) {
            boolean wasKilled = process.instance() == request.instance() && process.killed()
                && process.from() <= request.at() && process.ended() >= request.at() - slack && process.ended() <= limit;
            if (wasKilled && (process.termAt() == NEVER || request.at() <= process.termAt() + SERVED_AFTER_TERM_MS)) {
                return true;
            }
        }
        return false;
    }

    private void checkDuplicates() {
        attemptsOf.forEach((id, ofRequest) -> {
            RequestSent request = requests.get(id);
            RequestEnded end = ends.get(id);
            long mayHaveRun = ofRequest.stream().filter(AttemptArrived::mayRun).count();
            if (request != null && request.mustRunOnce() && mayHaveRun > 1) {
                addBreach("duplicate", ofRequest.get(1).at(), id + " may have run " + mayHaveRun + " times: " + ofRequest);
            }
            if (request != null && request.mustRunOnce() && mayHaveRun > 0 && end != null
                && end.outcome() == Outcome.REJECTED) {
                addBreach("duplicate", end.at(), id + " was rejected after it may have run");
            }
        });
    }

    private void checkAttemptsAfterEnd() {
        for (AttemptArrived attempt : attempts) {
            RequestEnded end = ends.get(attempt.id());
            if (end != null && attempt.at() > end.at() + CLIENT_LEFT_SLACK_MS + slack) {
                addBreach("lost", attempt.at(), attempt.id() + " reached " + attempt.node() + " after its end: " + end
                    + "; sent: " + requests.get(attempt.id()) + "; attempts: " + attemptsOf.get(attempt.id()));
            }
        }
    }

    private void checkDeadlines() {
        for (AttemptArrived attempt : attempts) {
            RequestSent request = requests.get(attempt.id());
            if (request == null) {
                continue;
            }
            double left = request.at() + request.patience() - attempt.at();
            if (attempt.timeLeft() > left + DEADLINE_SLACK_MS + slack) {
                addBreach("deadline", attempt.at(), attempt.id() + " was sent with " + attempt.timeLeft()
                    + " ms left, but its client waits " + left + " ms");
            }
        }
    }

    /** Each limited volume has one store for all instances, from which the first attempt of a request takes its units. */
    private void checkLimits() {
        Map<String, LimitStore> stores = new HashMap<>();
        Set<String> counted = new HashSet<>();
        List<AttemptArrived> inOrder = attempts.stream().sorted(Comparator.comparingDouble(AttemptArrived::at)).toList();
        double allowed = ServeProcess.LIMIT_TOLERANCE
            + (LIMIT_SLACK_MS + slack) / MILLIS_PER_SECOND * ServeProcess.LIMIT_RATE;
        for (AttemptArrived attempt : inOrder) {
            RequestSent request = requests.get(attempt.id());
            if (request != null && request.limitedVolume() != null && counted.add(attempt.id())) {
                LimitStore store = stores.computeIfAbsent(request.limitedVolume(),
                    volume -> new LimitStore(ServeProcess.LIMIT_RATE, ServeProcess.LIMIT_BURST));
                double left = store.take(attempt.at(), request.units());
                if (left < -allowed) {
                    addBreach("limit", attempt.at(), String.format("%s left %.1f units in the store of %s, %.1f are allowed",
                        attempt.id(), left, request.limitedVolume(), -allowed));
                }
            }
        }
    }

    private void checkExits() {
        for (Incarnation process : incarnations) {
            boolean ended = process.ended() < NEVER;
            if (ended && !process.killed() && process.exitCode() != 0) {
                addBreach("crash", process.ended(), "instance " + process.instance() + " exited with code "
                    + process.exitCode());
            } else if (ended && !process.killed() && process.termAt() == NEVER) {
                addBreach("crash", process.ended(), "instance " + process.instance() + " exited without SIGTERM");
            }
        }
        history.all(FaultLogged.class).forEach(fault -> addBreach("fault", 0, fault.line()));
    }
}
