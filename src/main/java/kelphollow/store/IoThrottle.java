package kelphollow.store;

import java.util.concurrent.locks.LockSupport;

/** Rate limiter of background I/O, in bytes per second. Confined to the thread that does the I/O. */
interface IoThrottle {
    /** Never waits. */
    IoThrottle UNLIMITED = bytes -> {};

    /** Blocks until this many bytes may be read or written. */
    void acquire(long bytes);

    /** A token bucket with a burst of a tenth of a second; a caller that overdraws it waits until the balance is zero. */
    static IoThrottle of(long bytesPerSecond) {
        return new TokenBucket(bytesPerSecond);
    }

    /** Tokens are bytes. The balance may become negative, so that a request larger than the bucket can pass. */
    final class TokenBucket implements IoThrottle {
        private static final double NANOS_PER_SECOND = 1e9;
        private static final double BURSTS_PER_SECOND = 10.0;
        private final long bytesPerSecond;
        private long refilledAt = System.nanoTime();
        private double tokens;

        private TokenBucket(long bytesPerSecond) {
            this.bytesPerSecond = bytesPerSecond;
            this.tokens = bytesPerSecond / BURSTS_PER_SECOND;
        }

        @Override public void acquire(long bytes) {
            long now = System.nanoTime();
            tokens = Math.min(bytesPerSecond / BURSTS_PER_SECOND,
                tokens + (now - refilledAt) / NANOS_PER_SECOND * bytesPerSecond);
            refilledAt = now;
            tokens -= bytes;
            if (tokens < 0) {
                LockSupport.parkNanos((long) (-tokens / bytesPerSecond * NANOS_PER_SECOND));
            }
        }
    }
}
