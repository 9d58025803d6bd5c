package kelphollow.store;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** A batch that waits to be written, and who is told the result. */
record PendingWrite(Batch batch, Durability durability, Executor executor, WriteCallback callback) {
    /** Notifies the caller on its executor; null is success. */
    void complete(StoreFault fault) {
        try {
            executor.execute(() -> callback.completed(fault));
        } catch (RejectedExecutionException e) {
            // the caller's event loop has ended
        }
    }
}
