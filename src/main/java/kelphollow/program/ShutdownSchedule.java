package kelphollow.program;

import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;

/**
 * What happens when after SIGTERM, in milliseconds from it.
 *
 * @param acceptFor how long new connections are accepted, and open ones that are owed nothing stay open
 * @param answerWithin by when each request has its final answer; infinite if nothing kills the program
 */
record ShutdownSchedule(double acceptFor, double answerWithin) {
    /** Of the object API, whose clients have other instances: new connections keep coming for up to 0.4 s. */
    static final ShutdownSchedule GATEWAY = new ShutdownSchedule(450, Double.POSITIVE_INFINITY);
    // The platform kills no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
    private static final double MAX_DEADLINE_COUNTED = 3_000;
    private static final double KILLED_AFTER_DEADLINE = 700;
    // Before the kill, with time for what is slow on its way.
    private static final double ANSWERED_BEFORE_KILL = 350;
    // Before the last answers connections that are owed nothing close. Clients keep using those they have for as long as
    // they stay open and have no other scheduler: what would come later is lost to them, so even a short chance is taken.
    private static final double CLOSED_BEFORE_KILL = ANSWERED_BEFORE_KILL + 150;

    /** Of the platform, whose clients have no other scheduler. */
    static ShutdownSchedule platform(ControlSettings settings) {
        double killedAfter = KILLED_AFTER_DEADLINE + Math.min(MAX_DEADLINE_COUNTED, longestDeadline(settings));
        return new ShutdownSchedule(Math.max(GATEWAY.acceptFor, killedAfter - CLOSED_BEFORE_KILL),
            killedAfter - ANSWERED_BEFORE_KILL);
    }

    /** The same for clients whose socket the next process holds too: nothing new is accepted. */
    ShutdownSchedule acceptingNothing() {
        return new ShutdownSchedule(0, answerWithin);
    }

    static double longestDeadline(ControlSettings settings) {
        return settings.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0);
    }
}
