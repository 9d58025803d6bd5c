package kelphollow.routing;

/** Carries attempts to storage nodes over some wire. Everything happens on the event loop. */
public interface Backend {
    /** Starts an attempt; it must end by {@link Attempt#ended} exactly once, unless it is abandoned first. */
    void start(Attempt attempt);

    /** Gives an attempt up by closing what carries it; nothing more may come of it. */
    void abandon(Attempt attempt);

    /** The node wants nothing new, or has started anew: connections to it that carry nothing are closed. */
    void retire(String node);
}
