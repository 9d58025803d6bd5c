package kelphollow.store;

/** Receives the progress of a long operation on the caller's thread. */
public interface ProgressListener {
    /** Ignores all progress. */
    ProgressListener NONE = (done, total) -> {};

    /** Called when {@code done} of {@code total} segments have been processed. */
    void progressed(int done, int total);
}
