package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.CloseReason;

/**
 * One client's connection. Sends replies in the order of the commands. Releases each decoded message once its command has
 * been handled or discarded. Confined to the event loop.
 */
final class RespConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(RespConnection.class.getName());
    // Further requests are rejected on arrival. Reading does not stop at the limit, because a client's disconnect is only
    // detected on a connection that is read.
    private static final int MAX_OPEN_REQUESTS = 256;
    // Commands whose replies are not yet written, about 100 bytes each. One more closes the connection.
    private static final int MAX_PENDING_REPLIES = 4_096;
    private static final int MAX_ERROR_LENGTH = 200;

    /** A decoded message and the bytes that it occupies; null in place of one that was rejected for lack of memory. */
    private record DecodedCommand(RedisMessage message, int bytes) {
        private static final DecodedCommand REJECTED = new DecodedCommand(null, 0);

        boolean isRejected() {
            return message == null;
        }
    }

    private enum State {
        /** Commands are accepted. */
        SERVING,
        /** Accepted commands still get their replies; further input is discarded. */
        CLOSING,
        /** All replies are written, or the client has disconnected. */
        CLOSED
    }

    private final RespFront front;
    private final RequestRouter router;
    private final RequestIntake intake;
    private final Ticker ticker;
    private final Channel channel;
    private final ConnectionActivity activity;
    private final ReadThrottle throttle;
    private final ArrayDeque<ReplySlot> slots = new ArrayDeque<>();
    private final CommandMemory memory;
    /** Commands that are decoded and not yet handled. */
    private final ArrayDeque<DecodedCommand> decoded = new ArrayDeque<>();
    /** Whether the input cannot be decoded any further. */
    private boolean inputDiscarded;
    private State state = State.SERVING;
    /** Whether a loop task that handles decoded messages is scheduled or running; replies are flushed at its end. */
    private boolean handling;
    private boolean unflushed;
    private ChannelFuture lastWrite;
    private int openRequests;
    /** Why the connection is closed; null while it serves, or if the client closes it. */
    private CloseReason closeReason;

    RespConnection(RespFront front, RequestRouter router, RequestIntake intake, Ticker ticker, Channel channel) {
        this.front = front;
        this.router = router;
        this.intake = intake;
        this.ticker = ticker;
        this.channel = channel;
        this.activity = new ConnectionActivity(ticker);
        this.throttle = new ReadThrottle(this, channel, ticker);
        this.memory = new CommandMemory(front.memory(), () -> front.commandIncomplete(this));
    }

    CommandMemory memory() {
        return memory;
    }

    /** Whether no command awaits its reply and the last reply has been written to the socket. */
    boolean isIdle() {
        return slots.isEmpty() && decoded.isEmpty() && (lastWrite == null || lastWrite.isDone());
    }

    ConnectionActivity activity() {
        return activity;
    }

    int openRequests() {
        return openRequests;
    }

    void requestOpened() {
        openRequests++;
    }

    void requestFinished() {
        openRequests--;
    }

    @Override public void channelRead(ChannelHandlerContext context, Object message) {
        if (inputDiscarded) {
            ReferenceCountUtil.release(message);
            return;
        }
        int bytes = endIncomplete();
        if (memory.accept(bytes)) {
            decoded.add(new DecodedCommand((RedisMessage) message, bytes));
        } else {
            ReferenceCountUtil.release(message);
            decoded.add(DecodedCommand.REJECTED);
        }
    }

    private int endIncomplete() {
        front.commandEnded(this);
        return memory.endIncomplete();
    }

    /**
     * Schedules the handling of decoded commands for after the read. If the client closed right behind its commands, the
     * channel is inactive by then, and its requests are not forwarded.
     */
    @Override public void channelReadComplete(ChannelHandlerContext context) {
        boolean complete = !decoded.isEmpty();
        activity.readEnded(complete);
        front.markActive(this);
        if (!complete) {
            flushReplies();
        } else if (!handling) {
            handling = true;
            channel.eventLoop().execute(this::handleDecoded);
        }
    }

    private void handleDecoded() {
        for (DecodedCommand command; (command = decoded.poll()) != null;) {
            memory.release(command.bytes());        // a slot that needs them counts them again
            try {
                if (state == State.SERVING && channel.isActive()) {
                    handle(command);
                }
            } finally {
                ReferenceCountUtil.release(command.message());
            }
        }
        handling = false;
        flushReplies();
    }

    private void handle(DecodedCommand command) {
        ReplySlot slot = addSlot();
        RedisMessage message = command.message();
        if (slots.size() > MAX_PENDING_REPLIES) {
            failConnection(slot, "ERR too many commands at once", CloseReason.TOO_MANY_COMMANDS);
            return;
        }
        if (command.isRejected()) {
            slot.rejected(0, false);
            return;
        }
        String name = message instanceof ArrayRedisMessage array && !array.isNull() && !array.children().isEmpty()
            ? RespCodec.text(array.children().get(0)) : null;
        if (name == null) {
            failConnection(slot, "ERR Protocol error: expected a command", CloseReason.MALFORMED_INPUT);
            return;
        }
        activity.requested();
        switch (name.toUpperCase(Locale.ROOT)) {
            case "PING" -> slot.reply(new SimpleStringRedisMessage("PONG"));
            case "CLIENT", "SELECT" -> slot.reply(new SimpleStringRedisMessage("OK"));
            case RespWireNames.GET, RespWireNames.PUT -> submit(slot, (ArrayRedisMessage) message, command.bytes());
            default -> invalid(slot, "unknown command");
        }
    }

    private ReplySlot addSlot() {
        ReplySlot slot = new ReplySlot(this, intake, router);
        slots.add(slot);
        return slot;
    }

    private void submit(ReplySlot slot, ArrayRedisMessage message, int bytes) {
        RespCommand command;
        RequestArrived arrival;
        try {
            command = RespCommand.read(message.children());
            arrival = intake.open(command, ticker.now());
        } catch (MalformedCommandException e) {
            invalid(slot, printable(e.getMessage()));
            return;
        }
        slot.reserve(command.idText());
        if (openRequests >= MAX_OPEN_REQUESTS || !slot.countMemory(bytes)) {
            slot.rejected(0, false);
        } else {
            slot.submit(arrival, command);
        }
    }

    private static String printable(String text) {
        return text.length() > MAX_ERROR_LENGTH ? "malformed" : text.replaceAll("[^ -~]", "?");
    }

    private void invalid(ReplySlot slot, String error) {
        slot.reply(new ErrorRedisMessage(RespWireNames.ERROR + " " + error));
        throttle.invalidCommand();
    }

    /** Replies with an error after which no input can be parsed. Earlier commands still get their replies, in order. */
    private void failConnection(ReplySlot slot, String error, CloseReason reason) {
        state = State.CLOSING;
        closesFor(reason);
        discardInput();
        slot.reply(new ErrorRedisMessage(error));
    }

    private void discardInput() {
        if (!inputDiscarded) {
            inputDiscarded = true;
            RespCodec.discardInput(channel.pipeline());
            endIncomplete();
        }
    }

    /** Discards the incomplete command, to make room for those of others; earlier commands still get their replies. */
    void evictIncomplete() {
        discardInput();
        channel.eventLoop().execute(() -> failInput("ERR too many incomplete commands",
            CloseReason.INCOMPLETE_COMMAND_EVICTED));
    }

    private void failInput(String error, CloseReason reason) {
        if (state == State.SERVING && channel.isActive()) {
            handleDecoded();               // commands received before the input that failed
            failConnection(addSlot(), error, reason);
        }
    }

    /** Closes the connection once the written replies are sent; commands that arrive meanwhile are not forwarded. */
    void close(CloseReason reason) {
        if (state != State.CLOSED) {
            closesFor(reason);
            markClosed();
            discardInput();
            front.lingeringClose(channel);
        }
    }

    /** Closes the connection at once, which shows the client that the value on it is truncated. */
    void abort(CloseReason reason) {
        closesFor(reason);
        channel.close();
    }

    /** Records why the connection closes, unless a reason is known already. */
    private void closesFor(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
    }

    private void markClosed() {
        if (state != State.CLOSED) {
            front.log().closed(closeReason == null ? CloseReason.CLIENT_DISCONNECTED : closeReason, channel.remoteAddress(),
                slots.stream().filter(ReplySlot::isOpen).map(ReplySlot::id).collect(Collectors.joining(" ")));
        }
        state = State.CLOSED;
        throttle.stop();
        front.remove(this);
    }

    /** Writes the replies that are next in order; while commands are being handled, they are flushed at the end of that. */
    void flushReplies() {
        for (ReplySlot next; (next = slots.peek()) != null && next.isReady() && write(next);) {
            slots.poll();
        }
        if (unflushed && !handling) {
            unflushed = false;
            channel.flush();
            activity.touch();
            front.markActive(this);
        }
        if (slots.isEmpty() && decoded.isEmpty() && (state == State.CLOSING || front.isShuttingDown())) {
            close(CloseReason.SHUTDOWN);
        }
        throttle.update();
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

    @Override public void channelWritabilityChanged(ChannelHandlerContext context) {
        throttle.update();
        if (!slots.isEmpty() && slots.peek().value() != null) {
            slots.peek().value().progressed();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext context) {
        markClosed();
        for (DecodedCommand command; (command = decoded.poll()) != null;) {
            memory.release(command.bytes());
            ReferenceCountUtil.release(command.message());
        }
        endIncomplete();
        slots.forEach(ReplySlot::disconnected);
        slots.clear();
        front.checkShutdown();
    }

    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            closesFor(CloseReason.IO_ERROR);
            context.close();
        } else if (state == State.SERVING) {
            LOG.log(Level.FINE, "malformed RESP input from client", cause);
            failInput("ERR Protocol error", CloseReason.MALFORMED_INPUT);
        }
    }
}
