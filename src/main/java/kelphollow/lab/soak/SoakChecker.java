package kelphollow.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kelphollow.lab.soak.SoakHistory.AttemptArrived;
import kelphollow.lab.soak.SoakHistory.FaultLogged;
import kelphollow.lab.soak.SoakHistory.Incarnation;
import kelphollow.lab.soak.SoakHistory.Outcome;
import kelphollow.lab.soak.SoakHistory.RequestEnded;
import kelphollow.lab.soak.SoakHistory.RequestSent;

/**
 * Judges the history of a soak by the platform's rules: drains, lost requests, duplicate effects, rejections of what may
 * have run, attempts for clients that have gone, deadlines sent on, ends of processes. Knows nothing of the program.
 * Times are milliseconds; {@code slack} is what the machine that played may have added.
 */
final class SoakChecker {
    /** A rule that was broken, and by what. */
    record Breach(String rule, double at, String what) {
        @Override public String toString() {
            return String.format("%s at %.0f ms: %s", rule, at, what);
        }
    }

    private static final double DRAIN_GRACE = 250;
    private static final double SOCKET_SLACK = 50;
    private static final double ANSWER_SLACK = 500;
    private static final double GONE_SLACK = 100;
    private static final double DEADLINE_SLACK = 150;
    /** What comes within this time after SIGTERM is owed its answer, whether SIGKILL follows or not. */
    private static final double OWED_AFTER_TERM = 700;
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

    /** All breaches, in no particular order. */
    static List<Breach> judge(SoakHistory history, double slack) {
        SoakChecker checker = new SoakChecker(history, slack);
        checker.drainsAreKept();
        checker.answersCome();
        checker.effectsHappenOnce();
        checker.nothingIsSentForClientsGone();
        checker.deadlinesAreSentOn();
        checker.processesEndInOrder();
        return checker.breaches;
    }

    private void breach(String rule, double at, String what) {
        breaches.add(new Breach(rule, at, what));
    }

    private void drainsAreKept() {
        for (AttemptArrived attempt : attempts) {
            RequestSent request = requests.get(attempt.id());
            if (request == null) {
                breach("unknown", attempt.at(), "nobody asked for " + attempt.id());
                continue;
            }
            double processFrom = knowledge.processStartedAt(request.instance(), attempt.at());
            long notified = knowledge.notifiedVersion(request.instance(), processFrom,
                attempt.at() - DRAIN_GRACE - SOCKET_SLACK - slack);
            long written = knowledge.writtenVersion(request.instance(), processFrom, attempt.at());
            if (notified >= 0 && knowledge.isUnusable(attempt.node(), notified, Math.max(notified, written))) {
                breach("drain", attempt.at(), attempt.id() + " went to " + attempt.node() + ", which drains or is gone"
                    + " since version " + notified + " or before; written up to " + written);
            }
        }
    }

    private void answersCome() {
        for (RequestSent request : requests.values()) {
            RequestEnded end = ends.get(request.id());
            double limit = request.at() + request.patience() + ANSWER_SLACK + slack;
            if (end == null || end.outcome() == Outcome.CLIENT_LEFT || diedMeanwhile(request, limit)) {
                continue;
            }
            boolean reached = attemptsOf.containsKey(request.id());
            if (end.outcome() == Outcome.NO_ANSWER || end.at() > limit) {
                breach("lost", end.at(), request.id() + " had no answer in its time, " + end.outcome());
            } else if (end.outcome() == Outcome.CONNECTION_ENDED && reached) {
                breach("lost", end.at(), request.id() + " was forwarded, and its connection ended without an answer");
            }
        }
    }

    /** Its process was killed before the answer was due, without SIGTERM or when that was long past. */
    private boolean diedMeanwhile(RequestSent request, double limit) {
        for (Incarnation process : incarnations) {
            boolean dies = process.instance() == request.instance() && process.killed() && process.from() <= request.at()
                && process.ended() >= request.at() - slack && process.ended() <= limit;
            if (dies && (process.termAt() == NEVER || request.at() > process.termAt() + OWED_AFTER_TERM)) {
                return true;
            }
        }
        return false;
    }

    private void effectsHappenOnce() {
        attemptsOf.forEach((id, ofRequest) -> {
            RequestSent request = requests.get(id);
            RequestEnded end = ends.get(id);
            long mayHaveRun = ofRequest.stream().filter(AttemptArrived::mayRun).count();
            if (request != null && request.mustRunOnce() && mayHaveRun > 1) {
                breach("duplicate", ofRequest.get(1).at(), id + " may have run " + mayHaveRun + " times: " + ofRequest);
            }
            if (request != null && request.mustRunOnce() && mayHaveRun > 0 && end != null
                && end.outcome() == Outcome.REJECTED) {
                breach("duplicate", end.at(), id + " was rejected after it may have run");
            }
        });
    }

    private void nothingIsSentForClientsGone() {
        for (AttemptArrived attempt : attempts) {
            RequestEnded end = ends.get(attempt.id());
            if (end != null && attempt.at() > end.at() + GONE_SLACK + slack) {
                breach("lost", attempt.at(), attempt.id() + " reached " + attempt.node() + " after its end: " + end);
            }
        }
    }

    private void deadlinesAreSentOn() {
        for (AttemptArrived attempt : attempts) {
            RequestSent request = requests.get(attempt.id());
            if (request == null) {
                continue;
            }
            double left = request.at() + request.patience() - attempt.at();
            if (attempt.timeLeft() > left + DEADLINE_SLACK + slack) {
                breach("deadline", attempt.at(), attempt.id() + " was sent " + attempt.timeLeft() + " ms, has " + left);
            }
        }
    }

    private void processesEndInOrder() {
        for (Incarnation process : incarnations) {
            boolean ended = process.ended() < NEVER;
            if (ended && !process.killed() && process.exitCode() != 0) {
                breach("crash", process.ended(), "instance " + process.instance() + " ended with " + process.exitCode());
            } else if (ended && !process.killed() && process.termAt() == NEVER) {
                breach("crash", process.ended(), "instance " + process.instance() + " ended by itself");
            }
        }
        history.all(FaultLogged.class).forEach(fault -> breach("fault", 0, fault.line()));
    }
}
