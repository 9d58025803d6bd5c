package kelphollow.protocol.object;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import javax.xml.stream.XMLStreamException;
import kelphollow.ledger.CompletionRecords.RecordedResponse;

/**
 * Forwards a client's CompleteMultipartUpload at most once. It is sent only if no earlier one can have run. If one ran,
 * its recorded response is replayed. If the outcome of one is unknown, the node is queried first: an upload
 * that no longer exists was completed or aborted. Confined to the event loop.
 */
final class CompletionForwarding implements AtMostOnceForwarding, UploadQuery.Listener {
    private final ObjectServices services;
    private final ObjectExchange exchange;
    private final byte[] document;
    private final String documentDigest;
    private final UploadQuery query;
    private Completions.Completion completion;
    private IntentBarrier intent;
    /** Whether this client's request is the one that is sent. */
    private boolean isSender;

    /** {@code document} is the list of parts in the body of the client's request. */
    CompletionForwarding(ObjectServices services, ObjectExchange exchange, byte[] document) {
        this.services = services;
        this.exchange = exchange;
        this.document = document;
        this.query = new UploadQuery(services, this);
        this.documentDigest = new Md5().update(ByteBuffer.wrap(document)).hex();
    }

    void begin() {
        ObjectCall call = exchange.call();
        completion = services.completions().find(UploadParts.uploadKey(call), services.parts().isFullyTracked(call),
            services.startedAt());
        if (completion == null) {
            exchange.respond(S3Error.rejected(1));
            return;
        }
        switch (completion.kind()) {
            case RAN -> replayResponse();
            case RUNNING -> exchange.respond(S3Error.rejected(1));
            case UNKNOWN -> query.send(call.listParts(), exchange);
            case NEVER_RAN -> send();
        }
    }

    private void replayResponse() {
        RecordedResponse recorded = completion.response();
        if (!recorded.partListDigest().equals(documentDigest)) {
            exchange.respond(new S3Error(404, "NoSuchUpload", "This upload was completed with other parts."));
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        if (recorded.type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, recorded.type());
        }
        exchange.respond(new NodeResponse(recorded.status(), headers, recorded.body().getBytes(StandardCharsets.UTF_8)));
    }

    private void send() {
        isSender = true;
        intent = new IntentBarrier(services.ticker(), services.writeDeadline(), () -> exchange.send(document),
            error -> failed(error, false));
        completion.markRunning(services.now(), intent::recorded);
    }

    // ---------------------------------------------------------------- the query for the upload

    @Override public void responseReceived(NodeResponse response) {
        double wait = completion.millisUntilSettled(services.now());
        if (response.status() == 404) {
            completion.markNeverRan();                 // the upload no longer exists: nothing is left to complete
            exchange.respond(response);
        } else if (response.status() != 200) {
            exchange.respond(response);
        } else if (wait > 0) {
            // The attempt with the unknown outcome may still run, and may end at any time.
            exchange.respond(S3Error.rejected(UploadQuery.QUERY_AGAIN_MS));
        } else {
            send();
        }
    }

    @Override public void failed(S3Error error) {
        exchange.respond(error);
    }

    // ---------------------------------------------------------------- the outcome of this client's request

    @Override public void served(NodeResponse response) {
        isSender = false;
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (response.isSuccess() && !isError(response)) {
            String body = new String(response.body(), StandardCharsets.UTF_8);
            completion.markRan(new RecordedResponse(documentDigest, response.status(), type, body), services.now());
            services.parts().uploadEnded(UploadParts.uploadKey(exchange.call()));
        } else if (response.isClientError()) {
            completion.markNeverRan();
        } else {
            completion.markUnknown(services.now());
        }
        exchange.respond(response);
    }

    /** S3 may send the status 200 before the completion has ended; a later failure is reported in the body. */
    private static boolean isError(NodeResponse response) {
        try {
            return "Error".equals(S3Xml.rootElement(response.body()));
        } catch (XMLStreamException e) {
            return true;
        }
    }

    @Override public void failed(S3Error error, boolean mayHaveRun) {
        abandon(mayHaveRun);
        exchange.respond(error);
    }

    private void abandon(boolean mayHaveRun) {
        if (isSender) {
            isSender = false;
            if (mayHaveRun) {
                completion.markUnknown(services.now());
            } else {
                completion.markNeverRan();
            }
        }
    }

    @Override public void cancelled(boolean sent) {
        if (intent != null) {
            intent.cancel();
        }
        query.cancel();
        abandon(sent);
    }
}
