package kelphollow.protocol.object;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import kelphollow.transport.ClientMemory;

/**
 * Delivers the messages of a connection one per demand. A single read may yield a head and its body; the queue holds back
 * the body until the node takes it, so that undemanded bodies do not pile up in memory. What it queues is copied to the
 * heap, so that receive buffers return to their pool, and counted in {@link ClientMemory}. The receiver owns a message once
 * it is delivered. Confined to the event loop.
 */
final class DemandQueue {
    /** Counted for each message beside its content. */
    private static final long MESSAGE_BYTES = 256;
    /** Counted for a request's head, whose own size is not known here. */
    private static final long HEAD_BYTES = 16 * 1024;
    /** Requests that one client may have read ahead; one more read may yield hundreds, which the codec has to bear. */
    private static final int MAX_REQUESTS = 64;

    private final Channel channel;
    private final ClientMemory memory;
    private final Consumer<Object> receiver;
    private final ArrayDeque<Object> messages = new ArrayDeque<>();
    private long queuedBytes;
    private int queuedRequests;
    private boolean demanded;
    /** Whether a message is being delivered, or {@link #withDeliveryDeferred} holds deliveries back. */
    private boolean delivering;

    DemandQueue(Channel channel, ClientMemory memory, Consumer<Object> receiver) {
        this.channel = channel;
        this.memory = memory;
        this.receiver = receiver;
    }

    /** Adds a message that was read, and takes ownership of it. */
    void add(Object message) {
        if (demanded && !delivering && messages.isEmpty()) {
            delivering = true;
            try {
                demanded = false;
                receiver.accept(message);
            } finally {
                delivering = false;
            }
        } else {
            enqueue(message);
        }
        deliver();
    }

    private void enqueue(Object message) {
        Object queued = message;
        if (message instanceof HttpContent content && content.content().isReadable()) {
            ByteBuf copy = Unpooled.copiedBuffer(content.content());
            queued = content.replace(copy);
            content.release();
        }
        messages.add(queued);
        queuedRequests += queued instanceof HttpRequest ? 1 : 0;
        queuedBytes += size(queued);
        memory.add(size(queued));
    }

    private static long size(Object message) {
        if (message instanceof HttpContent content) {
            return MESSAGE_BYTES + content.content().readableBytes();
        }
        return MESSAGE_BYTES + (message instanceof HttpRequest ? HEAD_BYTES : 0);
    }

    private Object remove() {
        Object message = messages.remove();
        queuedRequests -= message instanceof HttpRequest ? 1 : 0;
        queuedBytes -= size(message);
        memory.release(size(message));
        return message;
    }

    /** Demands one more message. May be called while another is being delivered. */
    void demand() {
        demanded = true;
        if (!delivering) {
            deliver();
            if (demanded) {
                channel.read();
            }
        }
    }

    /** Whether a message is demanded and none is queued. */
    boolean hasUnmetDemand() {
        return demanded && messages.isEmpty();
    }

    /** Whether no message is queued. */
    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Whether less is queued than any client may have read ahead, however many there are. */
    boolean isWithinShare() {
        return queuedRequests < MAX_REQUESTS && memory.isWithinShare(queuedBytes);
    }

    /** Whether memory allows reading messages that are not demanded yet. */
    boolean mayReadAhead() {
        return queuedRequests < MAX_REQUESTS && memory.mayReadAhead(queuedBytes);
    }

    /** Runs a task; messages that it demands are delivered after it ends. */
    void withDeliveryDeferred(Runnable task) {
        delivering = true;
        try {
            task.run();
        } finally {
            delivering = false;
        }
        if (demanded) {
            demand();
        }
    }

    private void deliver() {
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            while (demanded && !messages.isEmpty()) {
                demanded = false;
                receiver.accept(remove());
            }
        } finally {
            delivering = false;
        }
    }

    /** Releases the messages that were not delivered. */
    void release() {
        while (!messages.isEmpty()) {
            ReferenceCountUtil.release(remove());
        }
    }
}
