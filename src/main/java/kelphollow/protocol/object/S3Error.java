package kelphollow.protocol.object;

import io.netty.handler.codec.http.HttpResponseStatus;

/** An error response with the status and code that S3 defines. */
final class S3Error extends Exception {
    private static final long serialVersionUID = 1L;
    private final HttpResponseStatus status;
    private final String code;
    private final double retryAfter;

    S3Error(int status, String code, String message) {
        this(status, code, message, 0);
    }

    private S3Error(int status, String code, String message, double retryAfter) {
        super(message, null, false, false);   // a response rather than a program error: no stack trace
        this.status = HttpResponseStatus.valueOf(status);
        this.code = code;
        this.retryAfter = retryAfter;
    }

    /** The request was not executed; the client may retry after {@code retryAfter} milliseconds, at least 1. */
    static S3Error rejected(double retryAfter) {
        return new S3Error(503, "SlowDown", "Reduce your request rate.", Math.max(1, retryAfter));
    }

    /** The request may have been executed. */
    static S3Error failed(boolean timedOut) {
        return timedOut ? new S3Error(504, "GatewayTimeout", "The storage node did not answer in time.")
            : new S3Error(502, "BadGateway", "The storage node failed; the request may have taken effect.");
    }

    HttpResponseStatus status() {
        return status;
    }

    String code() {
        return code;
    }

    /** Milliseconds after which the client may retry; 0: no advice. */
    double retryAfter() {
        return retryAfter;
    }
}
