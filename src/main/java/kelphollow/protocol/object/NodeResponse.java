package kelphollow.protocol.object;

import io.netty.handler.codec.http.HttpHeaders;

/** A complete response of an object server. */
record NodeResponse(int status, HttpHeaders headers, byte[] body) {
    boolean isSuccess() {
        return status / 100 == 2;
    }

    boolean isClientError() {
        return status / 100 == 4;
    }
}
