package kelphollow.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks requests: each gets one answer in time, and no write reaches a node twice. */
final class RequestChecks {
    // A stall may be reported up to this long after the end of the request that it excuses.
    private static final double STALL_AFTER_MS = 500;
    // An instance refuses connections for some time while it starts.
    private static final double STARTUP_MS = 1_500;
    // A request sent this shortly before the end of the history, in addition to the client's timeout, is not checked.
    private static final double UNCHECKED_AT_END_MS = 2_000;

    private final List<HistoryLine> lines;
    private final Unavailability unavailability;
    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, HistoryLine> requests = new LinkedHashMap<>();
    private final Set<String> answered = new HashSet<>();

    private RequestChecks(List<HistoryLine> lines, Unavailability unavailability) {
        this.lines = lines;
        this.unavailability = unavailability;
    }

    static List<Finding> check(List<HistoryLine> lines, Unavailability unavailability) {
        RequestChecks checks = new RequestChecks(lines, unavailability);
        checks.checkAnswers();
        checks.checkDuplicateWrites();
        return checks.findings;
    }

    private void addFinding(String check, String what, HistoryLine line) {
        findings.add(Finding.of(check, what, line));
    }

    /** Each request gets one answer in time, unless its instance was killed, stopped or restarted meanwhile. */
    private void checkAnswers() {
        for (HistoryLine line : lines) {
            if (line.is("client", "ask")) {
                requests.put(line.text("request"), line);
            } else if (line.is("client", "answer")) {
                checkAnswer(line);
            }
        }
        double end = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).at();
        requests.forEach((id, request) -> {
            if (!answered.contains(id) && request.at() < end - Clients.TIMEOUT_MS - UNCHECKED_AT_END_MS) {
                addFinding("one-answer", id + " was never answered", request);
            }
        });
    }

    private void checkAnswer(HistoryLine answer) {
        String id = answer.text("request");
        HistoryLine request = requests.get(id);
        if (request == null) {
            addFinding("one-answer", id + " was answered but never sent", answer);
        } else if (!answered.add(id)) {
            addFinding("one-answer", id + " was answered twice", answer);
        } else if (answer.integer("status") == 0 && !isExcused(request, answer.at())) {
            addFinding("one-answer", id + " got no answer although its instance was available", answer);
        }
    }

    /** Whether the instance need not have answered: it was unavailable, had not served yet, or was stalled. */
    private boolean isExcused(HistoryLine request, double answeredAt) {
        String instance = request.text("instance");
        return unavailability.wasUnavailable(instance, request.at() - STARTUP_MS, answeredAt) || !hadServed(request)
            || unavailability.wasStalled(instance, request.at(), answeredAt + STALL_AFTER_MS);
    }

    /** Whether the instance had answered any request since its last start before this request. */
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

    private void checkDuplicateWrites() {
        Map<String, HistoryLine> attempts = new HashMap<>();
        for (HistoryLine line : lines) {
            if (line.is("attempt") && "PUT".equals(line.text("method"))) {
                HistoryLine before = attempts.put(line.text("request"), line);
                if (before != null) {
                    findings.add(new Finding("write-twice", line.text("request") + " reached a node twice",
                        List.of(before, line)));
                }
            }
        }
    }
}
