package kelphollow.routing;

/** Carries attempts to storage nodes over some protocol. Confined to the router's event loop. */
public interface Backend {
    /**
     * Starts an attempt. The backend asks {@link Attempt#maySend} before it writes the first byte. It calls
     * {@link Attempt#ended} exactly once, unless the attempt is cancelled first.
     */
    void start(Attempt attempt);

    /** Cancels an attempt by closing the connection that carries it; the backend reports nothing more of it. */
    void cancel(Attempt attempt);

    /** Closes the idle connections to a node that accepts nothing new or has restarted. */
    void closeIdleConnections(String node);
}
