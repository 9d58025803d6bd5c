package kelphollow.store;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** A queued batch, and the callback that receives the result of writing it. */
record PendingWrite(Batch batch, Durability durability, Executor executor, WriteCallback callback) {
    /** Calls the callback on the caller's executor; a null fault means success. */
    void complete(StoreFault fault) {
        try {
            executor.execute(() -> callback.completed(fault));
        } catch (RejectedExecutionException e) {
            // the caller's event loop has been shut down
        }
    }
}
