package kelphollow.protocol.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** Counts dropped packets and connections by reason, and logs each reason at most once in ten seconds. Not thread-safe. */
final class DropCounter {
    private static final Logger LOG = Logger.getLogger(SocketPeerTransport.class.getName());
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<DropReason, Long> counts = new EnumMap<>(DropReason.class);
    private final Map<DropReason, Long> loggedAt = new EnumMap<>(DropReason.class);

    void count(DropReason reason) {
        long count = counts.merge(reason, 1L, Long::sum);
        long now = System.nanoTime();
        Long lastLogged = loggedAt.get(reason);
        if (lastLogged == null || now - lastLogged > LOG_INTERVAL_NANOS) {
            loggedAt.put(reason, now);
            LOG.warning(() -> "fleet: dropped a packet or connection: " + reason.label() + " (" + count + " so far)");
        }
    }

    Map<DropReason, Long> counts() {
        return Map.copyOf(counts);
    }
}
