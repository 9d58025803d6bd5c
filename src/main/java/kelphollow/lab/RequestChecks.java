package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges requests: each has one answer in time, and no write comes to a node twice. Times in milliseconds. */
final class RequestChecks {
    // An instance that reports that it had no processor was not there for up to so long after its answer was due.
    private static final double STALL_AFTER = 500;
    // A start takes some time in which connections are refused.
    private static final double REFUSED_BEFORE = 1_500;
    // A request that was sent so shortly before the end of the history, beside its client's patience, is not judged.
    private static final double UNJUDGED_AT_END = 2_000;

    private final List<HistoryLine> lines;
    private final Absences away;
    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, HistoryLine> requests = new LinkedHashMap<>();
    private final Set<String> answered = new HashSet<>();

    private RequestChecks(List<HistoryLine> lines, Absences away) {
        this.lines = lines;
        this.away = away;
    }

    static List<Finding> check(List<HistoryLine> lines, Absences away) {
        RequestChecks checks = new RequestChecks(lines, away);
        checks.eachRequestHasOneAnswer();
        checks.noWriteComesTwice();
        return checks.findings;
    }

    private void breach(String check, String what, HistoryLine line) {
        findings.add(Finding.of(check, what, line));
    }

    /** Each request has one answer in time, unless its instance was killed, stopped or restarted meanwhile. */
    private void eachRequestHasOneAnswer() {
        for (HistoryLine line : lines) {
            if (line.is("client", "ask")) {
                requests.put(line.text("request"), line);
            } else if (line.is("client", "answer")) {
                judgeAnswer(line);
            }
        }
        double end = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).at();
        requests.forEach((id, request) -> {
            if (!answered.contains(id) && request.at() < end - Clients.PATIENCE - UNJUDGED_AT_END) {
                breach("one-answer", id + " was never answered", request);
            }
        });
    }

    private void judgeAnswer(HistoryLine answer) {
        String id = answer.text("request");
        HistoryLine request = requests.get(id);
        if (request == null) {
            breach("one-answer", id + " was never asked", answer);
        } else if (!answered.add(id)) {
            breach("one-answer", id + " was answered twice", answer);
        } else if (answer.integer("status") == 0 && !isExcused(request, answer.at())) {
            breach("one-answer", id + " got no answer though its instance was there", answer);
        }
    }

    /** Whether the instance need not have answered: it was away, had not served yet, or stood still. */
    private boolean isExcused(HistoryLine request, double answeredAt) {
        String instance = request.text("instance");
        return away.wasAway(instance, request.at() - REFUSED_BEFORE, answeredAt) || !hadServed(request)
            || away.wasStalled(instance, request.at(), answeredAt + STALL_AFTER);
    }

    /** Whether the instance had answered anybody in its present incarnation before this request. */
    private boolean hadServed(HistoryLine request) {
        String instance = request.text("instance");
        boolean served = false;
        for (HistoryLine line : lines) {
            if (line.at() > request.at()) {
                break;
            }
            if (line.is(HistoryLine.LAB, "start") && instance.equals(line.text("instance"))) {
                served = false;
            } else if (line.is("client", "answer") && line.integer("status") > 0
                && line.text("request").endsWith("-" + instance)) {
                served = true;
            }
        }
        return served;
    }

    private void noWriteComesTwice() {
        Map<String, HistoryLine> attempts = new HashMap<>();
        for (HistoryLine line : lines) {
            if (line.is("attempt") && "PUT".equals(line.text("method"))) {
                HistoryLine before = attempts.put(line.text("request"), line);
                if (before != null) {
                    findings.add(new Finding("write-twice", line.text("request") + " came to a node twice",
                        List.of(before, line)));
                }
            }
        }
    }
}
