package kelphollow.protocol.object;

import java.util.function.Consumer;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;

/**
 * The wait between the wish to send and the record of it being safe. It ends once: by the record, by a fault of the
 * store, by patience running out, or by the client's going away; only the first lets anything go out.
 */
final class IntentBarrier {
    private final Runnable safe;
    private final Consumer<S3Error> rejected;
    private final Ticker.Timeout patience;
    private boolean over;

    /** {@code patience} in milliseconds: when it has run out nothing was sent, and the client may come again. */
    IntentBarrier(Ticker ticker, double patience, Runnable safe, Consumer<S3Error> rejected) {
        this.safe = safe;
        this.rejected = rejected;
        this.patience = ticker.after(patience, () -> end(() -> rejected.accept(S3Error.rejected(1_000))));
    }

    /** The store says how the record ended. */
    void recorded(StoreFault fault) {
        end(fault == null ? safe : () -> rejected.accept(S3Error.rejected(1_000)));
    }

    void callOff() {
        end(() -> {});
    }

    private void end(Runnable what) {
        if (!over) {
            over = true;
            patience.cancel();
            what.run();
        }
    }
}
