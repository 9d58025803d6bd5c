package kelphollow.protocol.object;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates the headers of clients' requests, which hold a bounded number of fields. A field occupies some 100 bytes beside
 * its text, so that a bound on the length of a head alone would let it occupy many times that length. Thread-safe.
 */
final class LimitedFields implements HttpHeadersFactory {
    static final int MAX_FIELDS = 100;

    @Override public HttpHeaders newHeaders() {
        return new Headers();
    }

    @Override public HttpHeaders newEmptyHeaders() {
        return new Headers();
    }

    private static final class Headers extends DefaultHttpHeaders {
        @Override public HttpHeaders add(CharSequence name, Object value) {
            checkSize();
            return super.add(name, value);
        }

        @Override public HttpHeaders add(String name, Object value) {
            checkSize();
            return super.add(name, value);
        }

        /** The decoder rejects the request for it. */
        private void checkSize() {
            if (size() >= MAX_FIELDS) {
                throw new TooLongFrameException("more than " + MAX_FIELDS + " header fields");
            }
        }
    }
}
