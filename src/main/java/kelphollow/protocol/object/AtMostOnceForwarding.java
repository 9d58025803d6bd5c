package kelphollow.protocol.object;

/** Forwards a call that must not run twice, and learns how its attempts ended. For the event loop alone. */
interface AtMostOnceForwarding {
    /** A node has responded. */
    void served(NodeResponse response);

    /** No node has responded; {@code mayHaveRun} tells whether an attempt may have taken effect. */
    void failed(S3Error error, boolean mayHaveRun);

    /** The client has gone, or is not waited for any more; {@code sent} tells whether anything was given to the router. */
    void cancelled(boolean sent);
}
