package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request of the object API as its front and its backend share it: the call, the body on its way to the node, and the
 * content on its way to the client. For the event loop alone.
 */
final class Transfer {
    /** Takes the chunks of a body. */
    interface BodySink {
        /** A chunk, to be released by the sink. */
        void chunk(ByteBuf chunk, boolean last);
    }

    /** The client's side. */
    interface Client {
        /** Requests the next chunk of the body. */
        void read();

        /** The head of the response; it stays the caller's. */
        void head(HttpResponse head);

        /** Content of the response, to be released by the client's side. */
        void content(ByteBuf content);

        boolean isWritable();

        /** The client has taken nothing for too long. */
        void stalled();
    }

    /** How far the client's body has come. */
    private enum BodyState {
        /** None of it has been read for a node. */
        NOT_STARTED,
        /** Part of it is used up: it cannot be sent again. */
        FORWARDING,
        /** The last byte has left for the node: the request may take effect from here on. */
        FORWARDED
    }

    private final ObjectCall call;
    private final byte[] document;
    private final Client client;
    private final Download download = new Download();
    private BodyState bodyState = BodyState.NOT_STARTED;
    private BodySink sink;
    private Runnable whenWritable;

    /** {@code document} is the complete body of a call whose body is a small document, or null. */
    Transfer(ObjectCall call, byte[] document, Client client) {
        this.call = call;
        this.document = document;
        this.client = client;
    }

    ObjectCall call() {
        return call;
    }

    /** The complete body of a call whose body is a small document, or null. */
    byte[] document() {
        return document;
    }

    Download download() {
        return download;
    }

    // ---------------------------------------------------------------- the body

    boolean streamsBody() {
        return call.op().hasBody() && document == null;
    }

    /** A body that has begun to be forwarded cannot be sent again. */
    boolean isBodyConsumed() {
        return bodyState != BodyState.NOT_STARTED;
    }

    boolean isBodyForwarded() {
        return bodyState == BodyState.FORWARDED;
    }

    /** The last byte of the body has been written to the node. */
    void bodyForwarded() {
        bodyState = BodyState.FORWARDED;
    }

    /** Forwards the body to this sink from its first chunk on. */
    void forwardBodyTo(BodySink to) {
        sink = to;
        bodyState = BodyState.FORWARDING;
        client.read();
    }

    void requestChunk() {
        client.read();
    }

    /** Hands a chunk to the sink, which releases it; without a sink it is released here. */
    void chunk(ByteBuf chunk, boolean last) {
        if (sink == null) {
            chunk.release();
        } else {
            sink.chunk(chunk, last);
        }
    }

    // ---------------------------------------------------------------- the content

    /** Forwards the head of the first response, which the {@link #download} has taken. */
    void head(HttpResponse head) {
        client.head(head);
    }

    /** Forwards content, and its ownership. */
    void content(ByteBuf content) {
        download.addForwarded(content.readableBytes());
        client.content(content);
    }

    /** Runs the task at once if the client can take more, else when it can. */
    void whenWritable(Runnable task) {
        if (client.isWritable()) {
            task.run();
        } else {
            whenWritable = task;
        }
    }

    /** The client can take more. */
    void writable() {
        Runnable task = whenWritable;
        whenWritable = null;
        if (task != null) {
            task.run();
        }
    }

    boolean waitsForClient() {
        return whenWritable != null;
    }

    void clientStalled() {
        client.stalled();
    }
}
