package kelphollow.routing;

/** The front's side of one request. The core calls exactly one of these, once, unless the client has gone. */
public interface ResponseCallback {
    /** A node served the request; {@code answer} is what the backend of the same protocol made of it. */
    void served(Object answer);

    /** Refused: coming again is harmless, best after so many milliseconds (0: no advice). */
    void rejected(double after, boolean timedOut);

    /** Failed: it may have run, nothing is promised. */
    void failed(boolean timedOut);
}
