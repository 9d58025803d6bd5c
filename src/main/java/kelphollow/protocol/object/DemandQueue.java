package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Hands over what a connection brings, one message for each demand. Guards memory against bodies that nobody has
 * demanded yet: one read may bring a head and its body, and the body must wait until the node takes it. Holds at most
 * what one read of the socket brings; a message is the receiver's once it is handed over. For the event loop alone.
 */
final class DemandQueue {
    private final Channel channel;
    private final Consumer<Object> receiver;
    private final ArrayDeque<Object> messages = new ArrayDeque<>();
    private boolean demanded;
    /** Whether a message is being handed over, or {@link #withDeliveryDeferred} holds deliveries back. */
    private boolean delivering;

    DemandQueue(Channel channel, Consumer<Object> receiver) {
        this.channel = channel;
        this.receiver = receiver;
    }

    /** Takes a message that was read, and its ownership. */
    void add(Object message) {
        messages.add(message);
        deliver();
    }

    /** Demands one more message; it may be demanded while another is being handed over. */
    void demand() {
        demanded = true;
        if (!delivering) {
            deliver();
            if (demanded) {
                channel.read();
            }
        }
    }

    /** Whether a demand is open for which nothing has been read. */
    boolean hasUnmetDemand() {
        return demanded && messages.isEmpty();
    }

    /** Runs a task; what it demands is handed over once it has ended. */
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

    /** Releases what was not demanded. */
    void release() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
    }
}
