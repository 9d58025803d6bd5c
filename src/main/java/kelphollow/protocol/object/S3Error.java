package kelphollow.protocol.object;

import io.netty.handler.codec.http.HttpResponseStatus;

/** An error in S3's terms; {@code retryAfter} in milliseconds, 0 for no advice. */
final class S3Error extends Exception {
    private static final long serialVersionUID = 1L;
    final HttpResponseStatus status;
    final String code;
    final double retryAfter;

    S3Error(int status, String code, String message) {
        this(status, code, message, 0);
    }

    S3Error(int status, String code, String message, double retryAfter) {
        super(message, null, false, false);   // an answer, not a fault of the program: it needs no stack
        this.status = HttpResponseStatus.valueOf(status);
        this.code = code;
        this.retryAfter = retryAfter;
    }

    static S3Error rejected(double after) {
        return new S3Error(503, "SlowDown", "Reduce your request rate.", Math.max(1, after));
    }

    static S3Error failed(boolean timedOut) {
        return timedOut ? new S3Error(504, "GatewayTimeout", "The storage node did not answer in time.")
            : new S3Error(502, "BadGateway", "The storage node failed; the request may have taken effect.");
    }
}
