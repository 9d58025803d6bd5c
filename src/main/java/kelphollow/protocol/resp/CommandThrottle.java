package kelphollow.protocol.resp;

/**
 * Limits how many commands of one connection are handled, so that a client that sends at full speed leaves the event loop
 * to others. A token bucket: {@link #BURST} commands at once, {@link #COMMANDS_PER_MS} for ever. After some invalid
 * commands each further one delays the next. Times are milliseconds; not thread-safe.
 */
final class CommandThrottle {
    private static final double BURST = 512;
    /** Above what a process can forward in all. */
    private static final double COMMANDS_PER_MS = 4;
    private static final int MAX_INVALID_WITHOUT_PAUSE = 3;
    private static final double INVALID_PAUSE_MS = 50;

    private double tokens = BURST;
    private double refilledAt;
    private double pausedUntil;
    private int invalidCommands;

    /** {@code now}: the clock time at which the connection was opened. */
    CommandThrottle(double now) {
        refilledAt = now;
        pausedUntil = now;
    }

    /** Records a command that was handled. */
    void handled() {
        tokens--;
    }

    /** Records that the command handled last was invalid. */
    void invalid(double now) {
        if (++invalidCommands > MAX_INVALID_WITHOUT_PAUSE) {
            pausedUntil = now + INVALID_PAUSE_MS;
        }
    }

    /** Returns how long the next command must wait; 0: not at all. */
    double waitFor(double now) {
        tokens = Math.min(BURST, tokens + (now - refilledAt) * COMMANDS_PER_MS);
        refilledAt = now;
        double untilToken = tokens >= 1 ? 0 : (1 - tokens) / COMMANDS_PER_MS;
        return Math.max(untilToken, pausedUntil - now);
    }
}
