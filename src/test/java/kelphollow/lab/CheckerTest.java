package kelphollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Gives each check a history with one violation, which only this check must find, and a history without. */
class CheckerTest {
    private final List<Map<String, Object>> lines = new ArrayList<>();

    private void add(double at, String party, String what, Object... keysAndValues) {
        Map<String, Object> line = new LinkedHashMap<>(Map.of("at", at, "party", party, "what", what));
        for (int i = 0; i < keysAndValues.length; i += 2) {
            line.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        lines.add(line);
    }

    private void addRequest(double at, String id, boolean write) {
        add(at, "client", "ask", "request", id, "instance", id.substring(id.indexOf('-') + 1), "write", write);
    }

    private void addAnswer(double at, String id, int status) {
        add(at, "client", "answer", "request", id, "status", status);
    }

    private void addEvent(double at, String by, String addEvent, String of, double epoch) {
        add(at, by, "event", "event", addEvent, "of", of, "epoch", epoch);
    }

    /** Adds three instances that serve requests and see each other as alive. */
    private void addHealthyFleet() {
        for (String i : List.of("i0", "i1", "i2")) {
            add(0, "lab", "start", "instance", i);
        }
        for (String i : List.of("i0", "i1", "i2")) {
            for (String j : List.of("i0", "i1", "i2")) {
                if (!i.equals(j)) {
                    addEvent(100, i, "joined", j, 1);
                }
            }
            addRequest(3_000, "r" + i + "-" + i, false);
            addAnswer(3_010, "r" + i + "-" + i, 200);
        }
    }

    /** Adds a node that is unresponsive from 10 s to 30 s and gets attempts at the given times. */
    private void addUnresponsiveNode(boolean shared, double... attempts) {
        addHealthyFleet();
        add(9_000, "lab", "findings", "shared", shared);
        add(10_000, "lab", "silent", "node", "n0");
        for (double at : attempts) {
            add(at, "n0", "attempt", "request", "t" + at + "-i0", "method", "GET");
        }
        add(30_000, "lab", "back", "node", "n0");
    }

    private static double[] every(double millis, double from, double to) {
        return java.util.stream.DoubleStream.iterate(from, at -> at < to, at -> at + millis).toArray();
    }

    @Test void unresponsiveNodeMayBeProbedByOneInstance() {
        addUnresponsiveNode(true, every(1_000, 10_500, 30_000));
        assertFindings();
    }

    @Test void unresponsiveNodeProbedByAllInstancesIsReported() {
        addUnresponsiveNode(true, every(400, 10_500, 30_000));
        assertFindings("trickle");
    }

    @Test void unresponsiveNodeWithoutProbesIsReported() {
        addUnresponsiveNode(true, 10_500, 12_000, 29_000);
        assertFindings("trickle");
    }

    @Test void allInstancesMayProbeWithoutSharedFindings() {
        addUnresponsiveNode(false, every(200, 10_500, 30_000));
        assertFindings();
    }

    @Test void retriesBeyondTheirShareAreReported() {
        addHealthyFleet();
        add(4_000, "lab", "repeats", "share", 0.1);
        for (int i = 0; i < 60; i++) {
            add(5_000 + i, "n0", "attempt", "request", "f" + i + "-i0", "method", "GET");
        }
        for (int i = 0; i < 7; i++) {          // a tenth plus the one retry that is always allowed
            add(6_000 + i, "n0", "attempt", "request", "f" + i + "-i0", "method", "GET");
        }
        int within = lines.size();
        assertFindings();
        lines.subList(within, lines.size()).clear();
        add(6_100, "n0", "attempt", "request", "f8-i0", "method", "GET");
        assertFindings("repeats");
    }

    /** Decreases the load at 10 s and sends 100 requests from a time on, one per 100 ms, the first {@code lost} unserved. */
    private void addLoadDecrease(double from, int lost) {
        addHealthyFleet();
        add(5_000, "lab", "load", "rate", 100);
        add(10_000, "lab", "load", "rate", 10);
        for (int i = 0; i < 100; i++) {
            double at = from + i * 100;
            addRequest(at, "l" + i + "-i0", false);
            addAnswer(at + 5, "l" + i + "-i0", i < lost ? 503 : 200);
        }
    }

    @Test void recoveryWithinTheBoundPasses() {
        addLoadDecrease(14_000, 15);
        assertFindings();
    }

    @Test void missingRecoveryAfterALoadDecreaseIsReported() {
        addLoadDecrease(15_001, 6);
        assertFindings("recovery");
    }

    private void addFinalViews() {
        add(60_000, "lab", "nothing");
        for (String i : List.of("i0", "i1", "i2")) {
            add(60_001, i, "view", "alive", List.of("i0", "i1", "i2"), "running", List.of("i0", "i1", "i2"));
        }
    }

    private void assertFindings(String... checks) {
        addFinalViews();
        List<String> found = Checker.check(lines).stream().map(Finding::check).distinct().toList();
        assertEquals(List.of(checks), found, () -> Checker.check(lines).toString());
        Checker.check(lines).forEach(f -> assertFalse(f.evidence().isEmpty()));
    }

    @Test void historyWithoutViolationPasses() {
        addHealthyFleet();
        add(5_000, "lab", "kill", "instance", "i1");
        addRequest(5_500, "r9-i1", false);
        addAnswer(5_501, "r9-i1", 0);
        addEvent(9_000, "i0", "failed", "i1", 1);
        add(9_100, "lab", "start", "instance", "i1");
        addEvent(9_900, "i0", "joined", "i1", 2);
        assertFindings();
    }

    @Test void missingAnswerIsReported() {
        addHealthyFleet();
        addRequest(5_000, "r9-i1", false);
        assertFindings("one-answer");
    }

    @Test void lostConnectionToAnAvailableInstanceIsReported() {
        addHealthyFleet();
        addRequest(5_000, "r9-i1", false);
        addAnswer(5_010, "r9-i1", 0);
        assertFindings("one-answer");
    }

    @Test void secondAnswerIsReported() {
        addHealthyFleet();
        addRequest(5_000, "r9-i1", false);
        addAnswer(5_010, "r9-i1", 503);
        addAnswer(5_020, "r9-i1", 200);
        assertFindings("one-answer");
    }

    @Test void duplicateWriteIsReportedAndDuplicateReadIsNot() {
        addHealthyFleet();
        for (int i = 0; i < 2; i++) {
            add(5_000 + i, "n0", "attempt", "request", "r9-i1", "method", "GET");
        }
        add(5_010, "n0", "attempt", "request", "r8-i1", "method", "PUT");
        add(5_011, "n1", "attempt", "request", "r8-i1", "method", "PUT");
        assertFindings("write-twice");
    }

    @Test void limitExceededByAllInstancesTogetherIsReportedAndRetriesDoNotCount() {
        for (int over : new int[] {0, 20}) {
            lines.clear();
            add(0, "lab", "limit", "rate", 10.0, "burst", 10.0, "slack", 5.0);
            addHealthyFleet();
            for (int i = 0; i < 15 + over; i++) {
                add(4_000 + i, "n0", "attempt", "request", "q" + i + "-i" + i % 3, "method", "GET");
                add(4_000 + i, "n0", "attempt", "request", "q" + i + "-i" + i % 3, "method", "GET");
            }
            if (over > 0) {
                assertFindings("limit");
            } else {
                assertFindings();
            }
        }
    }

    @Test void requestToADrainingNodeIsReportedAfterTheGrace() {
        addHealthyFleet();
        add(5_000, "plane", "told", "instance", "i1", "draining", List.of("n0"));
        add(5_200, "n0", "attempt", "request", "r9-i1", "method", "GET");
        add(5_500, "n0", "attempt", "request", "r8-i1", "method", "GET");
        assertFindings("drain");
    }

    @Test void requestByAnotherInstanceIsReportedAfterTheSpreadTime() {
        addHealthyFleet();
        add(5_000, "plane", "told", "instance", "i1", "draining", List.of("n0"));
        add(5_500, "n0", "attempt", "request", "r9-i2", "method", "GET");
        add(5_700, "n0", "attempt", "request", "r8-i2", "method", "GET");
        add(6_000, "plane", "told", "instance", "i1", "draining", List.of());
        add(7_000, "n0", "attempt", "request", "r7-i2", "method", "GET");
        assertFindings("drain-spread");
    }

    @Test void falseFailureIsReportedDespiteACutThatAThirdInstanceBridges() {
        addHealthyFleet();
        add(4_000, "lab", "cut", "who", List.of("i0"), "from", List.of("i1"), "one_way", true);
        addEvent(9_000, "i0", "failed", "i1", 1);
        assertFindings("false-failure");
    }

    @Test void reportedStallExcusesAFailureOnlyAroundItsTime() {
        addHealthyFleet();
        addEvent(8_800, "i1", "stood_still", "i1", 1);
        addEvent(9_000, "i0", "failed", "i1", 1);
        assertFindings();
        lines.clear();
        addHealthyFleet();
        addEvent(3_800, "i1", "stood_still", "i1", 1);
        addEvent(9_000, "i0", "failed", "i1", 1);
        assertFindings("false-failure");
    }

    @Test void failureAcrossACompleteCutPasses() {
        addHealthyFleet();
        add(4_000, "lab", "cut", "who", List.of("i0"), "from", List.of("i1", "i2"), "one_way", false);
        addEvent(9_000, "i0", "failed", "i1", 1);
        assertFindings();
    }

    @Test void decreasingEpochIsReported() {
        addHealthyFleet();
        addEvent(5_000, "i0", "joined", "i1", 3);
        addEvent(6_000, "i0", "joined", "i1", 2);
        assertFindings("epochs");
    }

    @Test void wrongFinalViewIsReported() {
        addHealthyFleet();
        add(59_000, "i0", "view", "alive", List.of("i0"), "running", List.of("i0", "i1", "i2"));
        assertFindings("agree");
    }

    @Test void stepTimeoutsCrashesAndFailedExitsAreReported() {
        addHealthyFleet();
        add(5_000, "lab", "missed", "step", 1);
        assertFindings("steps");
        lines.clear();
        addHealthyFleet();
        add(5_000, "i1", "crashed", "code", 1);
        assertFindings("crash");
        lines.clear();
        addHealthyFleet();
        add(5_000, "lab", "ended", "instance", "i1", "code", 143);
        assertFindings("leave");
    }
}
