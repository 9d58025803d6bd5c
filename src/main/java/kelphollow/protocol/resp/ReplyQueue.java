package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.stream.Collectors;

/** The replies that one client connection owes, in the order of its commands. Confined to the event loop. */
final class ReplyQueue {
    private final Channel channel;
    private final ArrayDeque<ReplySlot> slots = new ArrayDeque<>();
    private ChannelFuture lastWrite;
    private boolean unflushed;

    ReplyQueue(Channel channel) {
        this.channel = channel;
    }

    void add(ReplySlot slot) {
        slots.add(slot);
    }

    boolean isEmpty() {
        return slots.isEmpty();
    }

    /** The number of commands whose replies are not written yet. */
    int size() {
        return slots.size();
    }

    /** Whether no command awaits its reply and the last reply has been written to the socket. */
    boolean isWritten() {
        return slots.isEmpty() && (lastWrite == null || lastWrite.isDone());
    }

    /** Writes the replies that are next in order; they are sent with the next {@link #flush}. */
    void writeReady() {
        for (ReplySlot next; (next = slots.peek()) != null && next.isReady() && write(next);) {
            slots.poll();
        }
    }

    /** Writes a slot's reply. Returns false while its value is still streaming, which holds back the replies after it. */
    private boolean write(ReplySlot slot) {
        if (slot.value() == null) {
            lastWrite = channel.write(slot.reply());
            unflushed = true;
            return true;
        }
        slot.value().streamTo(channel);
        if (slot.isOpen()) {
            return false;
        }
        lastWrite = slot.value().end();
        return true;
    }

    /** Sends what has been written; returns whether there was anything. */
    boolean flush() {
        if (!unflushed) {
            return false;
        }
        unflushed = false;
        channel.flush();
        return true;
    }

    /** The channel's writability has changed, which the value that is streamed to it takes into account. */
    void writabilityChanged() {
        if (!slots.isEmpty() && slots.peek().value() != null) {
            slots.peek().value().progressed();
        }
    }

    /** The clients' ids of requests that are open, for the log; empty if there are none. */
    String openIds() {
        return slots.stream().filter(ReplySlot::isOpen).map(ReplySlot::id).collect(Collectors.joining(" "));
    }

    /** Cancels the requests that are open and discards all replies, because the client has disconnected. */
    void disconnected() {
        slots.forEach(ReplySlot::disconnected);
        slots.clear();
    }
}
