package kelphollow.program;

import java.util.List;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * The timing of a shutdown, in milliseconds from SIGTERM.
 *
 * @param acceptFor how long new connections are accepted and open ones without a pending request stay open
 * @param answerWithin time by which each request has its final answer; infinite if nothing kills the process
 */
record ShutdownSchedule(double acceptFor, double answerWithin) {
    /** For the object API, whose clients have other instances: they open new connections for up to 0.4 s. */
    static final ShutdownSchedule GATEWAY = new ShutdownSchedule(450, Double.POSITIVE_INFINITY);
    // The platform kills the process no sooner than the longest deadline, capped at 3 s, plus 0.7 s after SIGTERM.
    private static final double DEADLINE_CAP_MS = 3_000;
    private static final double KILL_DELAY_MS = 700;
    // Answers end this long before the kill, which leaves time for slow ones to reach the client.
    private static final double ANSWER_MARGIN_MS = 350;
    // Connections without a pending request close before the last answers. Clients use a connection as long as it is open
    // and have no other scheduler: later requests are lost, so connections stay open as long as any request can succeed.
    private static final double CLOSE_MARGIN_MS = ANSWER_MARGIN_MS + 150;

    /** For the platform, whose clients have no other scheduler; {@code longestDeadline} is that of the settings in force. */
    static ShutdownSchedule platform(double longestDeadline) {
        double killAfter = KILL_DELAY_MS + Math.min(DEADLINE_CAP_MS, longestDeadline);
        return new ShutdownSchedule(Math.max(GATEWAY.acceptFor, killAfter - CLOSE_MARGIN_MS),
            killAfter - ANSWER_MARGIN_MS);
    }

    /** Returns the schedule that holds for both of two kills, while it is open which one will come. */
    ShutdownSchedule earlier(ShutdownSchedule other) {
        return new ShutdownSchedule(Math.min(acceptFor, other.acceptFor), Math.min(answerWithin, other.answerWithin));
    }

    /** Returns the schedule for a socket that the next process also holds: new connections are left to that process. */
    ShutdownSchedule acceptingNothing() {
        return new ShutdownSchedule(0, answerWithin);
    }

    /** Returns the longest deadline of any class, in milliseconds. */
    static double longestDeadline(List<RequestClass> classes) {
        return classes.stream().mapToDouble(RequestClass::deadline).max().orElse(0);
    }
}
