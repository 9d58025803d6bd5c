package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import javax.xml.stream.XMLStreamException;

/**
 * Forwards a client's part of an upload at most once. It is sent only if the part cannot have been stored yet. Otherwise
 * its content is read and compared with what was stored, and the client gets the recorded response or a conflict. Confined
 * to the event loop.
 */
final class PartForwarding implements AtMostOnceForwarding, PartOutcome.Listener, UploadQuery.Listener {
    private final ObjectServices services;
    private final ObjectExchange exchange;
    private final Md5 digest = new Md5();
    private final UploadQuery query;
    private UploadPart part;
    private IntentBarrier intent;
    /** Whether this client's part is sent rather than compared. */
    private boolean isSender;
    private UploadPart.State stateBeforeQuery;
    private double unknownSince;
    /** Whether an attempt with an unknown outcome might still store the part after the query was sent. */
    private boolean mayStillBeStored;
    private long size;
    private PartContent content;
    private PartOutcome outcome;

    PartForwarding(ObjectServices services, ObjectExchange exchange) {
        this.services = services;
        this.exchange = exchange;
        this.query = new UploadQuery(services, this);
    }

    void begin() {
        part = services.parts().find(exchange.call(), services.now());
        if (part == null) {
            exchange.respond(S3Error.rejected(1));
            return;
        }
        switch (part.state()) {
            case BUSY -> readAndCompare(null);
            case STORED -> readAndCompare(part.storedOutcome());
            case UNKNOWN -> queryNode();
            case UNRECORDED -> {
                if (services.parts().isFullyTracked(exchange.call())) {
                    send();
                } else {
                    queryNode();
                }
            }
        }
    }

    private void send() {
        isSender = true;
        intent = new IntentBarrier(services.ticker(), services.writeDeadline(), () -> exchange.send(null),
            this::intentNotRecorded);
        part.markSending(services.now(), intent::recorded);
    }

    /** Handles a chunk of the client's body, which is released here or by the transfer that forwards it. */
    void chunk(ByteBuf bytes, boolean last) {
        digest.update(bytes.nioBuffer());
        size += bytes.readableBytes();
        if (last) {
            content = new PartContent(size, digest.hex());
        }
        if (isSender) {
            exchange.transfer().chunk(bytes, last);
            return;
        }
        bytes.release();
        if (last) {
            compare();
        } else {
            exchange.read();
        }
    }

    // ------------------------------------------------------------ comparison with a part that is sent or stored

    /** Reads and discards the body; the client gets its response once the body is complete and the outcome is known. */
    private void readAndCompare(PartOutcome known) {
        outcome = known;
        if (outcome == null) {
            part.addListener(this);
        }
        exchange.read();
    }

    @Override public void ended(PartOutcome known) {
        outcome = known;
        compare();
    }

    private void compare() {
        if (outcome == null || content == null || exchange.isFinished()) {
            return;
        }
        if (outcome.error() != null) {
            exchange.respond(outcome.error());
        } else if (outcome.content().equals(content)) {
            exchange.write(HttpResponses.partStored(outcome.etag()));
        } else {
            exchange.respond(new S3Error(409, "OperationAborted",
                "This part has been sent with other content, which is stored or may be."));
        }
    }

    // ------------------------------------------------------------ the query for the part

    private void queryNode() {
        // A part without a record may have been sent by an earlier incarnation, whose attempts ended when this one started.
        unknownSince = part.state() == UploadPart.State.UNKNOWN ? part.unknownSince() : services.startedAt();
        mayStillBeStored = services.now() - unknownSince < services.settleTime();
        stateBeforeQuery = part.state();
        part.markQuerying();
        query.send(exchange.call().listThisPart(), exchange);
    }

    @Override public void responseReceived(NodeResponse response) {
        if (response.status() != 200) {
            revert(null);
            exchange.respond(response);
            return;
        }
        S3Xml.Part stored;
        try {
            stored = S3Xml.parts(response.body()).get(exchange.call().partNumber());
        } catch (XMLStreamException e) {
            revert(S3Error.failed(false));
            return;
        }
        if (stored != null) {
            PartContent found = new PartContent(stored.size(), stored.etag().replace("\"", ""));
            part.markStored(found, stored.etag(), services.now());
            readAndCompare(PartOutcome.stored(found, stored.etag()));
        } else if (mayStillBeStored) {
            // The attempt with the unknown outcome may still run; sending another now could store the part twice.
            revert(S3Error.rejected(UploadQuery.QUERY_AGAIN_MS));
        } else {
            send();
        }
    }

    @Override public void failed(S3Error error) {
        revert(error);
    }

    /** Restores the part's state before a query without a result; this client gets {@code error} unless it is null. */
    private void revert(S3Error error) {
        hadNoEffect(error == null ? S3Error.rejected(1) : error);
        if (error != null) {
            exchange.respond(error);
        }
    }

    /** This client's request had no effect. An earlier attempt of unknown outcome stays unknown. */
    private void hadNoEffect(S3Error forOthers) {
        if (stateBeforeQuery == UploadPart.State.UNKNOWN) {
            part.markUnknown(part.unknownSince(), forOthers);
        } else {
            part.forget(forOthers);
        }
    }

    // ------------------------------------------------------------ the outcome of this client's request

    @Override public void served(NodeResponse response) {
        isSender = false;
        String etag = response.headers().get(HttpHeaderNames.ETAG);
        if (response.status() == 200 && etag != null && content != null) {
            part.markStored(content, etag, services.now());
        } else if (response.isClientError()) {
            hadNoEffect(S3Error.rejected(1));
        } else {
            part.markUnknown(services.now(), S3Error.failed(false));
        }
        exchange.respond(response);
    }

    @Override public void failed(S3Error error, boolean mayHaveRun) {
        abandon(error);
        exchange.respond(error);
    }

    /** Nothing was sent, because the intent did not become durable. */
    private void intentNotRecorded(S3Error error) {
        isSender = false;
        hadNoEffect(error);
        exchange.respond(error);
    }

    /** Until the last byte of the body is written, no attempt can have stored the part. */
    private void abandon(S3Error error) {
        isSender = false;
        if (exchange.transfer() != null && exchange.transfer().isBodyForwarded()) {
            part.markUnknown(services.now(), error);
        } else {
            hadNoEffect(error);
        }
    }

    @Override public void cancelled(boolean sent) {
        if (intent != null) {
            intent.cancel();
        }
        if (isSender) {
            abandon(S3Error.rejected(1));
        } else if (query.isPending()) {
            query.cancel();
            revert(null);
        } else if (part != null) {
            part.removeListener(this);
        }
    }
}
