package kelphollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** For each check a history with one planted breach, which it and no other check must find, and one without. */
class CheckerTest {
    private final List<Map<String, Object>> lines = new ArrayList<>();

    private void add(double at, String party, String what, Object... more) {
        Map<String, Object> line = new LinkedHashMap<>(Map.of("at", at, "party", party, "what", what));
        for (int i = 0; i < more.length; i += 2) {
            line.put((String) more[i], more[i + 1]);
        }
        lines.add(line);
    }

    private void ask(double at, String id, boolean write) {
        add(at, "client", "ask", "request", id, "instance", id.substring(id.indexOf('-') + 1), "write", write);
    }

    private void answer(double at, String id, int status) {
        add(at, "client", "answer", "request", id, "status", status);
    }

    private void event(double at, String by, String event, String of, double epoch) {
        add(at, by, "event", "event", event, "of", of, "epoch", epoch);
    }

    /** Three instances that serve and see each other. */
    private void good() {
        for (String i : List.of("i0", "i1", "i2")) {
            add(0, "lab", "start", "instance", i);
        }
        for (String i : List.of("i0", "i1", "i2")) {
            for (String j : List.of("i0", "i1", "i2")) {
                if (!i.equals(j)) {
                    event(100, i, "joined", j, 1);
                }
            }
            ask(3_000, "r" + i + "-" + i, false);
            answer(3_010, "r" + i + "-" + i, 200);
        }
    }

    /** A node that is silent from 10 s to 30 s, and is tried so often. */
    private void silent(boolean shared, double... trials) {
        good();
        add(9_000, "lab", "findings", "shared", shared);
        add(10_000, "lab", "silent", "node", "n0");
        for (double at : trials) {
            add(at, "n0", "attempt", "request", "t" + at + "-i0", "method", "GET");
        }
        add(30_000, "lab", "back", "node", "n0");
    }

    private static double[] every(double millis, double from, double to) {
        return java.util.stream.DoubleStream.iterate(from, at -> at < to, at -> at + millis).toArray();
    }

    @Test void aSilentNodeIsTriedByOneInstance() {
        silent(true, every(1_000, 10_500, 30_000));
        finds();
    }

    @Test void aSilentNodeThatAllTryIsFound() {
        silent(true, every(400, 10_500, 30_000));
        finds("trickle");
    }

    @Test void aSilentNodeThatNobodyTriesIsFound() {
        silent(true, 10_500, 12_000, 29_000);
        finds("trickle");
    }

    @Test void whereFindingsAreNotSharedAllMayTry() {
        silent(false, every(200, 10_500, 30_000));
        finds();
    }

    @Test void repeatsBeyondTheirShareAreFound() {
        good();
        add(4_000, "lab", "repeats", "share", 0.1);
        for (int i = 0; i < 60; i++) {
            add(5_000 + i, "n0", "attempt", "request", "f" + i + "-i0", "method", "GET");
        }
        for (int i = 0; i < 7; i++) {          // a tenth and one more
            add(6_000 + i, "n0", "attempt", "request", "f" + i + "-i0", "method", "GET");
        }
        int within = lines.size();
        finds();
        lines.subList(within, lines.size()).clear();
        add(6_100, "n0", "attempt", "request", "f8-i0", "method", "GET");
        finds("repeats");
    }

    /** The load goes down at 10 s; of what is asked each 100 ms so many of 100 are not served. */
    private void load(double from, int lost) {
        good();
        add(5_000, "lab", "load", "rate", 100);
        add(10_000, "lab", "load", "rate", 10);
        for (int i = 0; i < 100; i++) {
            double at = from + i * 100;
            ask(at, "l" + i + "-i0", false);
            answer(at + 5, "l" + i + "-i0", i < lost ? 503 : 200);
        }
    }

    @Test void troubleThatEndsInTimeIsNoBreach() {
        load(14_000, 15);
        finds();
    }

    @Test void troubleThatStaysAfterItsLoadIsFound() {
        load(15_001, 6);
        finds("recovery");
    }

    private void end() {
        add(60_000, "lab", "nothing");
        for (String i : List.of("i0", "i1", "i2")) {
            add(60_001, i, "view", "alive", List.of("i0", "i1", "i2"), "running", List.of("i0", "i1", "i2"));
        }
    }

    private void finds(String... checks) {
        end();
        List<String> found = Checker.check(lines).stream().map(Finding::check).distinct().toList();
        assertEquals(List.of(checks), found, () -> Checker.check(lines).toString());
        Checker.check(lines).forEach(f -> assertFalse(f.proof().isEmpty()));
    }

    @Test void aGoodHistoryPasses() {
        good();
        add(5_000, "lab", "kill", "instance", "i1");
        ask(5_500, "r9-i1", false);
        answer(5_501, "r9-i1", 0);
        event(9_000, "i0", "failed", "i1", 1);
        add(9_100, "lab", "start", "instance", "i1");
        event(9_900, "i0", "joined", "i1", 2);
        finds();
    }

    @Test void anAnswerThatNeverComesIsFound() {
        good();
        ask(5_000, "r9-i1", false);
        finds("one-answer");
    }

    @Test void aConnectionThatEndsThoughTheInstanceIsThereIsFound() {
        good();
        ask(5_000, "r9-i1", false);
        answer(5_010, "r9-i1", 0);
        finds("one-answer");
    }

    @Test void aSecondAnswerIsFound() {
        good();
        ask(5_000, "r9-i1", false);
        answer(5_010, "r9-i1", 503);
        answer(5_020, "r9-i1", 200);
        finds("one-answer");
    }

    @Test void aWriteThatComesToANodeTwiceIsFoundAndAReadThatDoesIsNone() {
        good();
        for (int i = 0; i < 2; i++) {
            add(5_000 + i, "n0", "attempt", "request", "r9-i1", "method", "GET");
        }
        add(5_010, "n0", "attempt", "request", "r8-i1", "method", "PUT");
        add(5_011, "n1", "attempt", "request", "r8-i1", "method", "PUT");
        finds("write-twice");
    }

    @Test void aLimitPassedByAllTogetherIsFoundAndRepeatsDrawNothing() {
        for (int over : new int[] {0, 20}) {
            lines.clear();
            add(0, "lab", "limit", "rate", 10.0, "burst", 10.0, "slack", 5.0);
            good();
            for (int i = 0; i < 15 + over; i++) {
                add(4_000 + i, "n0", "attempt", "request", "q" + i + "-i" + i % 3, "method", "GET");
                add(4_000 + i, "n0", "attempt", "request", "q" + i + "-i" + i % 3, "method", "GET");
            }
            if (over > 0) {
                finds("limit");
            } else {
                finds();
            }
        }
    }

    @Test void aSendToADrainingNodeIsFoundAfterItsGrace() {
        good();
        add(5_000, "plane", "told", "instance", "i1", "draining", List.of("n0"));
        add(5_200, "n0", "attempt", "request", "r9-i1", "method", "GET");
        add(5_500, "n0", "attempt", "request", "r8-i1", "method", "GET");
        finds("drain");
    }

    @Test void aSendByAnotherIsFoundOnceTheWordMustHaveSpread() {
        good();
        add(5_000, "plane", "told", "instance", "i1", "draining", List.of("n0"));
        add(5_500, "n0", "attempt", "request", "r9-i2", "method", "GET");
        add(5_700, "n0", "attempt", "request", "r8-i2", "method", "GET");
        add(6_000, "plane", "told", "instance", "i1", "draining", List.of());
        add(7_000, "n0", "attempt", "request", "r7-i2", "method", "GET");
        finds("drain-spread");
    }

    @Test void aDeathOfOneThatWasThereIsFoundAndACutThatOthersBridgeIsNoExcuse() {
        good();
        add(4_000, "lab", "cut", "who", List.of("i0"), "from", List.of("i1"), "one_way", true);
        event(9_000, "i0", "failed", "i1", 1);
        finds("false-failure");
    }

    @Test void anInstanceThatSaysItStoodStillWasNotThereButOnlyThen() {
        good();
        event(8_800, "i1", "stood_still", "i1", 1);
        event(9_000, "i0", "failed", "i1", 1);
        finds();
        lines.clear();
        good();
        event(3_800, "i1", "stood_still", "i1", 1);
        event(9_000, "i0", "failed", "i1", 1);
        finds("false-failure");
    }

    @Test void aDeathAcrossACutThatNobodyBridgesIsNone() {
        good();
        add(4_000, "lab", "cut", "who", List.of("i0"), "from", List.of("i1", "i2"), "one_way", false);
        event(9_000, "i0", "failed", "i1", 1);
        finds();
    }

    @Test void aLifeThatGoesBackIsFound() {
        good();
        event(5_000, "i0", "joined", "i1", 3);
        event(6_000, "i0", "joined", "i1", 2);
        finds("epochs");
    }

    @Test void aViewThatIsWrongAtTheEndIsFound() {
        good();
        add(59_000, "i0", "view", "alive", List.of("i0"), "running", List.of("i0", "i1", "i2"));
        finds("agree");
    }

    @Test void stepsThatWaitedInVainCrashesAndBadEndsAreFound() {
        good();
        add(5_000, "lab", "missed", "step", 1);
        finds("steps");
        lines.clear();
        good();
        add(5_000, "i1", "crashed", "code", 1);
        finds("crash");
        lines.clear();
        good();
        add(5_000, "lab", "ended", "instance", "i1", "code", 143);
        finds("leave");
    }
}
