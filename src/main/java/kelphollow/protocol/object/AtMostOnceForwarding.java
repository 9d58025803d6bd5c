package kelphollow.protocol.object;

/** Forwards a call that must not run twice, and is notified how its attempts ended. Confined to the event loop. */
interface AtMostOnceForwarding {
    /** A node responded. */
    void served(NodeResponse response);

    /** No node responded; {@code mayHaveRun} tells whether an attempt may have taken effect. */
    void failed(S3Error error, boolean mayHaveRun);

    /**
     * The client disconnected or its request was given up; {@code sent} tells whether the call was submitted to the
     * router.
     */
    void cancelled(boolean sent);
}
