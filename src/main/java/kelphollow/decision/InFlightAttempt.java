package kelphollow.decision;

/**
 * State of an attempt in flight; times are milliseconds. Confined to the thread that drives {@link Control}.
 */
final class InFlightAttempt {
    final PendingRequest request;
    final Node node;
    final double sentAt;
    /** Whether it filled the node's concurrency window when it was sent; only then may the window grow. */
    final boolean filledWindow;
    /** Time at which it was sent or last made progress. */
    private double progressAt;

    InFlightAttempt(PendingRequest request, Node node, double sentAt, boolean filledWindow) {
        this.request = request;
        this.node = node;
        this.sentAt = sentAt;
        this.filledWindow = filledWindow;
        this.progressAt = sentAt;
    }

    /** Map key of an attempt: the request's id and the attempt's number, from 0. */
    static String key(String request, int number) {
        return request + '#' + number;
    }

    void progressed(double now) {
        progressAt = now;
    }

    double progressAt() {
        return progressAt;
    }
}
