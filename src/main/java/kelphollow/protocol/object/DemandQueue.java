package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Delivers the messages of a connection one per demand. A single read may yield a head and its body; the queue holds back
 * the body until the node takes it, so that undemanded bodies do not pile up in memory. It holds at most what one read of
 * the socket yields. The receiver owns a message once it is delivered. Confined to the event loop.
 */
final class DemandQueue {
    private final Channel channel;
    private final Consumer<Object> receiver;
    private final ArrayDeque<Object> messages = new ArrayDeque<>();
    private boolean demanded;
    /** Whether a message is being delivered, or {@link #withDeliveryDeferred} holds deliveries back. */
    private boolean delivering;

    DemandQueue(Channel channel, Consumer<Object> receiver) {
        this.channel = channel;
        this.receiver = receiver;
    }

    /** Adds a message that was read, and takes ownership of it. */
    void add(Object message) {
        messages.add(message);
        deliver();
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
                receiver.accept(messages.remove());
            }
        } finally {
            delivering = false;
        }
    }

    /** Releases the messages that were not delivered. */
    void release() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
    }
}
