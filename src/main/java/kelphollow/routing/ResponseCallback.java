package kelphollow.routing;

/**
 * The front's side of one request. The router calls exactly one of these methods, once, unless the client has
 * disconnected. Called on the router's event loop.
 */
public interface ResponseCallback {
    /** A node has served the request; {@code answer} is what the backend of the same protocol made of it. */
    void served(Object answer);

    /**
     * The request is rejected: it was not executed, and the client may safely retry.
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
