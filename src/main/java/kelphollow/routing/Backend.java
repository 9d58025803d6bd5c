package kelphollow.routing;

/** Carries attempts to storage nodes over some protocol. Confined to the router's event loop. */
public interface Backend {
    /**
     * Starts an attempt. Before its first byte the backend asks {@link Attempt#maySend}. The attempt ends by
     * {@link Attempt#ended} exactly once, unless it is cancelled first.
     */
    void start(Attempt attempt);

    /** Cancels an attempt by closing the connection that carries it; nothing more may be reported of it. */
    void cancel(Attempt attempt);

    /** Closes the connections to a node that carry nothing: the node accepts nothing new, or has restarted. */
    void closeIdleConnections(String node);
}
