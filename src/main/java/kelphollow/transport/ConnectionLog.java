package kelphollow.transport;

import io.netty.util.internal.PlatformDependent;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.logging.Logger;
import kelphollow.routing.RateLimitedLog;
import kelphollow.routing.Ticker;

/**
 * Logs and counts the closes of a front's client connections by reason. A connection that closes with requests open is
 * logged by itself, at a bounded rate. Constant memory; confined to the event loop.
 */
public final class ConnectionLog {
    private static final Logger LOG = Logger.getLogger(ConnectionLog.class.getName());
    private static final double SUMMARY_INTERVAL_MS = 10_000;
    private static final int KIB = 1024;
    /** A client's end that lay behind unread input for longer than this is noticed late. */
    private static final double LATE_END_MS = 100;

    private final Ticker ticker;
    private final Supplier<String> gauges;
    private final Map<CloseReason, Long> closed = new EnumMap<>(CloseReason.class);
    private final Map<CloseReason, RateLimitedLog> withOpenRequests = new EnumMap<>(CloseReason.class);
    private final RateLimitedLog lateEnds = new RateLimitedLog(LOG);
    private long accepted;
    private long endsNoticedLate;
    private double longestUnread;

    /** {@code gauges}: what the front holds at present, as text for the periodic line. */
    public ConnectionLog(Ticker ticker, Supplier<String> gauges) {
        this.ticker = ticker;
        this.gauges = gauges;
        for (CloseReason reason : CloseReason.values()) {
            withOpenRequests.put(reason, new RateLimitedLog(LOG));
        }
    }

    /** Starts the periodic line, which is logged while connections come or go; it ends with the event loop. */
    public void start() {
        scheduleSummary(0);
    }

    private void scheduleSummary(long loggedEvents) {
        ticker.after(SUMMARY_INTERVAL_MS, () -> {
            long events = accepted + closed.values().stream().mapToLong(Long::longValue).sum();
            if (events != loggedEvents) {
                LOG.info(this::summary);
            }
            scheduleSummary(events);
        });
    }

    /** A connection was accepted by the front. */
    public void accepted() {
        accepted++;
    }

    /**
     * A connection closes.
     *
     * @param client its remote address, for the log
     * @param openRequests the clients' ids of its requests without a response; empty if there is none
     */
    public void closed(CloseReason reason, Object client, String openRequests) {
        closed.merge(reason, 1L, Long::sum);
        if (!openRequests.isEmpty()) {
            withOpenRequests.get(reason).info(ticker.now(), () -> "connection of client " + client
                + " closes with requests open: " + reason + ", ids " + openRequests);
        }
    }

    /**
     * The end of a client's connection was read.
     *
     * @param unreadMs for how long there had been input before it that was not read
     * @param input what has been read and waits, for the log
     */
    public void endNoticed(Object client, double unreadMs, Supplier<String> input) {
        longestUnread = Math.max(longestUnread, unreadMs);
        if (unreadMs > LATE_END_MS) {
            endsNoticedLate++;
            lateEnds.info(ticker.now(), () -> "the end of client " + client + " lay behind input that was unread for "
                + (long) unreadMs + " ms: " + input.get());
        }
    }

    /** All counters and gauges as one line. */
    private String summary() {
        Runtime runtime = Runtime.getRuntime();
        return "clients: accepted=" + accepted + " closed=" + closed + " ends noticed late=" + endsNoticedLate
            + " longest unread=" + (long) longestUnread + " ms " + gauges.get() + "; memory: heap="
            + (runtime.totalMemory() - runtime.freeMemory()) / KIB + " KiB direct="
            + PlatformDependent.usedDirectMemory() / KIB + " KiB";
    }
}
