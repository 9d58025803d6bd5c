package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import kelphollow.routing.ResponseCallback;

/**
 * One request of the object API, shared by its front and its backend: the call, its body on the way to the node, and the
 * response's content on the way to the client. Confined to the event loop.
 */
final class Transfer {
    /** Receives the chunks of a body. */
    interface BodySink {
        /** Receives a chunk and takes ownership of it. */
        void chunk(ByteBuf chunk, boolean last);
    }

    /** The client's side of the transfer. */
    interface Client {
        /** Requests the next chunk of the body. */
        void read();

        /** Receives the head of the response; the caller keeps ownership. */
        void head(HttpResponse head);

        /** Receives content of the response and takes ownership of it. */
        void content(ByteBuf content);

        boolean isWritable();

        /** Clock time as of which the client is known to be connected; see {@link ResponseCallback}. */
        double clientConnectedAsOf();

        /** The client has read nothing for too long. */
        void stalled();
    }

    /** How much of the client's body was forwarded. */
    private enum BodyState {
        /** Nothing was read for a node. */
        NOT_STARTED,
        /** Part of it was consumed: it cannot be sent again. */
        FORWARDING,
        /** The last byte was written to the node: the request may take effect from now on. */
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

    // ---------------------------------------------------------------- request body

    boolean streamsBody() {
        return call.op().hasBody() && document == null;
    }

    /** Whether forwarding of the body has begun; the body can then not be sent again. */
    boolean isBodyConsumed() {
        return bodyState != BodyState.NOT_STARTED;
    }

    boolean isBodyForwarded() {
        return bodyState == BodyState.FORWARDED;
    }

    /** The last byte of the body was written to the node. */
    void bodyForwarded() {
        bodyState = BodyState.FORWARDED;
    }

    /** Forwards the body to this sink, starting with its first chunk. */
    void forwardBodyTo(BodySink to) {
        sink = to;
        bodyState = BodyState.FORWARDING;
        client.read();
    }

    void requestChunk() {
        client.read();
    }

    /** Passes a chunk to the sink, which releases it; without a sink it is released here. */
    void chunk(ByteBuf chunk, boolean last) {
        if (sink == null) {
            chunk.release();
        } else {
            sink.chunk(chunk, last);
        }
    }

    // ---------------------------------------------------------------- response content

    /** Forwards the head of the first response, after {@link #download} has read it. */
    void head(HttpResponse head) {
        client.head(head);
    }

    /** Forwards content and its ownership. */
    void content(ByteBuf content) {
        download.addForwarded(content.readableBytes());
        client.content(content);
    }

    /** Runs the task at once if the client is writable, otherwise when it becomes writable. */
    void whenWritable(Runnable task) {
        if (client.isWritable()) {
            task.run();
        } else {
            whenWritable = task;
        }
    }

    /** The client became writable. */
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
