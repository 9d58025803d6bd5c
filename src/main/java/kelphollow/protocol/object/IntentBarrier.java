package kelphollow.protocol.object;

import java.util.function.Consumer;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;

/**
 * Holds back a request until the record of its intent is durable. It ends exactly once: by the record, a fault of the
 * store, the timeout, or the client's disconnect. Only a durable record lets the request be sent. Confined to the event
 * loop.
 */
final class IntentBarrier {
    private static final double RETRY_AFTER_MS = 1_000;

    private final Runnable whenDurable;
    private final Consumer<S3Error> whenRejected;
    private final Ticker.Timeout timeout;
    private boolean ended;

    /**
     * @param timeoutMillis milliseconds after which the request is rejected unsent, so that the client may retry
     * @param whenDurable sends the request
     * @param whenRejected receives the error for the client
     */
    IntentBarrier(Ticker ticker, double timeoutMillis, Runnable whenDurable, Consumer<S3Error> whenRejected) {
        this.whenDurable = whenDurable;
        this.whenRejected = whenRejected;
        this.timeout = ticker.after(timeoutMillis, () -> end(this::reject));
    }

    /** The write of the record has ended; {@code fault} is null if the record is durable. */
    void recorded(StoreFault fault) {
        end(fault == null ? whenDurable : this::reject);
    }

    /** The client disconnected. */
    void cancel() {
        end(() -> {});
    }

    private void reject() {
        whenRejected.accept(S3Error.rejected(RETRY_AFTER_MS));
    }

    private void end(Runnable action) {
        if (!ended) {
            ended = true;
            timeout.cancel();
            action.run();
        }
    }
}
