package kelphollow.routing;

/**
 * The front's side of one request. The router calls exactly one of these methods, once, unless the client has
 * disconnected. Called on the router's event loop.
 */
public interface ResponseCallback {
    /** A node has served the request; {@code response} is its response as the backend of the same protocol gives it. */
    void served(Object response);

    /**
     * The request is rejected: it was not executed, and the client may retry safely.
     *
     * @param retryAfter milliseconds after which a retry may succeed; 0: no advice
     * @param timedOut whether its last attempt timed out
     */
    void rejected(double retryAfter, boolean timedOut);

    /**
     * The request has failed: it may have been executed.
     *
     * @param timedOut whether its last attempt timed out
     */
    void failed(boolean timedOut);

    /**
     * Clock time as of which the client is known to be connected: no disconnect had arrived then. Later than that, one may
     * wait behind input that has not been read. A request without a client counts as connected for ever.
     */
    default double clientConnectedAsOf() {
        return Double.POSITIVE_INFINITY;
    }
}
