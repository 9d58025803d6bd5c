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
}
