package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * One connection's commands that are decoded and not yet handled, in order, and the bytes that they occupy. Owns their
 * messages until they are polled. Confined to the event loop.
 */
final class DecodedCommands {
    /**
     * A command.
     *
     * @param message the decoded message; null if there was no memory for it
     * @param bytes what it occupies in the connection's {@link CommandMemory}
     * @param readAt clock time at which its last byte was read from the socket
     */
    record Command(RedisMessage message, int bytes, double readAt) {
        boolean isRejected() {
            return message == null;
        }
    }

    private static final int MAX_COMMANDS = 256;
    private static final int MAX_BYTES = 2 * 1024 * 1024;
    /** Counted for each command beside its content. */
    private static final int OBJECT_BYTES = 512;

    private final CommandMemory memory;
    private final ArrayDeque<Command> commands = new ArrayDeque<>();
    private int bytes;

    DecodedCommands(CommandMemory memory) {
        this.memory = memory;
    }

    /** Adds a command whose content was counted while it was incomplete, or a place for one that does not fit. */
    void add(RedisMessage message, double readAt) {
        int occupied = memory.endIncomplete() + OBJECT_BYTES;
        if (memory.accept(occupied)) {
            commands.add(new Command(message, occupied, readAt));
            bytes += occupied;
        } else {
            ReferenceCountUtil.release(message);
            commands.add(new Command(null, 0, readAt));
        }
    }

    /** Removes the next command, whose message the caller releases; null if there is none. */
    Command poll() {
        Command next = commands.poll();
        if (next != null) {
            bytes -= next.bytes();
            memory.release(next.bytes());      // a slot that needs them counts them again
        }
        return next;
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    int size() {
        return commands.size();
    }

    /** Whether no more commands should be decoded before some are handled. */
    boolean isFull() {
        return commands.size() >= MAX_COMMANDS || bytes >= MAX_BYTES;
    }

    /** Discards all commands. */
    void clear() {
        for (Command command; (command = poll()) != null;) {
            ReferenceCountUtil.release(command.message());
        }
    }
}
