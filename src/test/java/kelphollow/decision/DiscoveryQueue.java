package kelphollow.decision;

/**
 * A model of one discovery service on a test clock: it works through calls in turn at a fixed rate, queues so many
 * at most and rejects the others at once. A call that was queued for {@link #TURN} is rejected too, but its work is done all
 * the same, as is that of a caller which has disconnected. While it is down a call is rejected after the same time.
 */
final class DiscoveryQueue {
    static final double TURN = 2_000;

    /** What became of a call. */
    enum Answer { SERVED, REJECTED_AT_ONCE, REJECTED_LATE }

    /** An answer on its way. */
    record Outcome(double at, int caller, Answer answer) {}

    private final double perCall;
    private final int longest;
    private double freeAt;

    DiscoveryQueue(double callsPerSecond, int longest) {
        this.perCall = 1_000 / callsPerSecond;
        this.longest = longest;
    }

    /** Takes a call; the outcome is known at once, though it comes later. */
    Outcome call(double now, int caller, double downUntil) {
        if (now < downUntil) {
            return new Outcome(now + TURN, caller, Answer.REJECTED_LATE);
        }
        freeAt = Math.max(freeAt, now);
        if ((freeAt - now) / perCall >= longest) {
            return new Outcome(now, caller, Answer.REJECTED_AT_ONCE);
        }
        freeAt += perCall;
        return freeAt - now <= TURN ? new Outcome(freeAt, caller, Answer.SERVED)
            : new Outcome(now + TURN, caller, Answer.REJECTED_LATE);
    }
}
