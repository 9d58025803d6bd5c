package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The replies that one client connection owes, in the order of its commands. A reply is only written while the channel is
 * writable, since the channel copies it to direct memory. Confined to the event loop.
 */
final class ReplyQueue {
    /** A client that reads nothing for this long while replies wait for it counts as disconnected. */
    private static final double CLIENT_STALL_TIMEOUT_MS = 10_000;

    private final Channel channel;
    private final ReplyMemory memory;
    private final ArrayDeque<ReplySlot> slots = new ArrayDeque<>();
    private ChannelFuture lastWrite;
    private boolean unflushed;
    /** How much the client had to read until the channel was writable when that was looked at last; 0: nothing waited. */
    private long unreadBytes;
    private double unreadSince;

    ReplyQueue(Channel channel, ReplyMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    /** What the replies that wait occupy. */
    ReplyMemory memory() {
        return memory;
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

    /** Whether a command's reply would be written without waiting for an earlier one or for the client to read. */
    boolean isWritable(ReplySlot slot) {
        return isNext(slot) && channel.isWritable();
    }

    /** Whether no earlier command awaits its reply. */
    boolean isNext(ReplySlot slot) {
        return slots.peek() == slot;
    }

    /** Writes the replies that are next in order; they are sent with the next {@link #flush}. */
    void writeReady() {
        for (ReplySlot next; (next = slots.peek()) != null && next.isReady() && mayWrite(next) && write(next);) {
            slots.poll().removed();
        }
    }

    /** A streamed value takes the channel's writability into account by itself. */
    private boolean mayWrite(ReplySlot slot) {
        return slot.value() != null || channel.isWritable();
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

    /** Sends what has been written, and further replies as far as the socket takes them; returns whether there was any. */
    boolean flush() {
        boolean any = unflushed;
        while (unflushed) {
            unflushed = false;
            channel.flush();
            writeReady();
        }
        return any;
    }

    /** Whether the client has read nothing for too long while replies wait for it; call this periodically. */
    boolean hasStalledClient(double now) {
        ReplySlot next = slots.peek();
        boolean waiting = next != null && next.isReady() && !mayWrite(next);
        long unread = waiting ? channel.bytesBeforeWritable() : 0;
        if (unread == 0 || unread != unreadBytes) {
            unreadBytes = unread;
            unreadSince = now;
        }
        return now - unreadSince >= CLIENT_STALL_TIMEOUT_MS;
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
        List<ReplySlot> open = List.copyOf(slots);
        slots.clear();                     // cancelling one request may reject others of this client
        open.forEach(ReplySlot::disconnected);
        open.forEach(ReplySlot::removed);
    }
}
