package kelphollow.protocol.object;

import java.util.function.Consumer;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;

/**
 * Holds back a request until the record of its intent is durable. It ends once: by the record, by a fault of the store, by
 * its timeout, or by the client's going away; only the first lets anything be sent. For the event loop alone.
 */
final class IntentBarrier {
    // In milliseconds.
    private static final double RETRY_AFTER_MS = 1_000;

    private final Runnable whenDurable;
    private final Consumer<S3Error> whenRejected;
    private final Ticker.Timeout timeout;
    private boolean ended;

    /**
     * @param timeoutMillis when it has passed nothing was sent, and the client may retry
     * @param whenDurable sends the request
     * @param whenRejected gets the error for the client
     */
    IntentBarrier(Ticker ticker, double timeoutMillis, Runnable whenDurable, Consumer<S3Error> whenRejected) {
        this.whenDurable = whenDurable;
        this.whenRejected = whenRejected;
        this.timeout = ticker.after(timeoutMillis, () -> end(this::reject));
    }

    /** The record has ended: durable if there is no fault. */
    void recorded(StoreFault fault) {
        end(fault == null ? whenDurable : this::reject);
    }

    /** The client has gone. */
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
