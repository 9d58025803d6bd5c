package kelphollow.program;

import java.util.List;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * The timing of a shutdown, in milliseconds from SIGTERM.
 *
 * @param acceptFor how long new connections are accepted and open ones without a pending request stay open
 * @param answerWithin time by which each request has its final answer; infinite if nothing kills the process
 * @param waitFor how long the process waits for answers at least; some time later it exits with connections open
 */
record ShutdownSchedule(double acceptFor, double answerWithin, double waitFor) {
    // Clients of the object API have other instances: they open new connections for up to 0.4 s.
    private static final double GATEWAY_ACCEPT_MS = 450;
    // The platform kills the process no sooner than the longest deadline, capped at 3 s, plus 0.7 s after SIGTERM.
    private static final double DEADLINE_CAP_MS = 3_000;
    private static final double KILL_DELAY_MS = 700;
    // Answers end this long before the kill, which leaves time for slow ones to reach the client.
    private static final double ANSWER_MARGIN_MS = 350;
    // Connections without a pending request close before the last answers. Clients use a connection as long as it is open
    // and have no other scheduler: later requests are lost, so connections stay open as long as any request can succeed.
    private static final double CLOSE_MARGIN_MS = ANSWER_MARGIN_MS + 150;

    /** For the object API; {@code longestDeadline} is that of all classes. */
    static ShutdownSchedule gateway(double longestDeadline) {
        return new ShutdownSchedule(GATEWAY_ACCEPT_MS, Double.POSITIVE_INFINITY,
            GATEWAY_ACCEPT_MS + longestDeadline);
    }

    /** For the platform, whose clients have no other scheduler; {@code longestDeadline} is that of the settings in force. */
    static ShutdownSchedule platform(double longestDeadline) {
        double killAfter = KILL_DELAY_MS + Math.min(DEADLINE_CAP_MS, longestDeadline);
        double answerWithin = killAfter - ANSWER_MARGIN_MS;
        return new ShutdownSchedule(Math.max(GATEWAY_ACCEPT_MS, killAfter - CLOSE_MARGIN_MS), answerWithin,
            answerWithin);
    }

    /** Returns the schedule that holds for both of two kills, while it is open which one will come. */
    ShutdownSchedule earlier(ShutdownSchedule other) {
        return new ShutdownSchedule(Math.min(acceptFor, other.acceptFor), Math.min(answerWithin, other.answerWithin),
            Math.min(waitFor, other.waitFor));
    }

    /** Returns the schedule for a socket that the next process also holds: new connections are left to that process. */
    ShutdownSchedule acceptingNothing() {
        return new ShutdownSchedule(0, answerWithin, waitFor);
    }

    /** Returns the longest deadline of any class, in milliseconds. */
    static double longestDeadline(List<RequestClass> classes) {
        return classes.stream().mapToDouble(RequestClass::deadline).max().orElse(0);
    }
}
