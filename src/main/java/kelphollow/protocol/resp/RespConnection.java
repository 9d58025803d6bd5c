package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
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
    // Further requests are rejected on arrival.
    private static final int MAX_OPEN_REQUESTS = 256;
    // Commands whose replies are not yet written, about 100 bytes each. One more closes the connection.
    private static final int MAX_PENDING_REPLIES = 4_096;
    private static final int MAX_ERROR_LENGTH = 200;

    /** How much of a client's input a turn decodes and handles, so that other connections get their turns. */
    private static final int COMMANDS_PER_TURN = 64;
    private static final int BYTES_PER_TURN = 64 * 1024;

    /** Why the client's input cannot be parsed any further, and the error that tells the client. */
    private record InputFailure(String error, CloseReason reason) {}

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
    private final CommandThrottle throttle;
    private final InboundPacer input;
    private final ReplyQueue replies;
    private final CommandMemory memory;
    private final DecodedCommands decoded;
    /** Set once the input cannot be decoded any further; reported behind the commands that were decoded before. */
    private InputFailure inputFailure;
    private boolean inputDiscarded;
    private boolean turnScheduled;
    private State state = State.SERVING;
    /** Whether commands are being handled; replies are flushed at the end of that. */
    private boolean handling;
    private int openRequests;
    /** Why the connection is closed; null while it serves, or if the client closes it. */
    private CloseReason closeReason;

    RespConnection(RespFront front, RequestRouter router, RequestIntake intake, Ticker ticker, Channel channel) {
        this.front = front;
        this.router = router;
        this.intake = intake;
        this.ticker = ticker;
        this.channel = channel;
        this.replies = new ReplyQueue(channel, new ReplyMemory(front.memory().heldReplies()));
        this.activity = new ConnectionActivity(ticker);
        this.throttle = new CommandThrottle(ticker.now());
        this.input = new InboundPacer(ticker, front.memory().undecodedInput(), this::inputRead);
        this.memory = new CommandMemory(front.memory(), () -> front.commandIncomplete(this));
        this.decoded = new DecodedCommands(memory);
    }

    /** The handler that is to be the first of the connection's pipeline. */
    InboundPacer input() {
        return input;
    }

    CommandMemory memory() {
        return memory;
    }

    ReplyQueue replies() {
        return replies;
    }

    /** Whether no command awaits its reply and the last reply has been written to the socket. */
    boolean isIdle() {
        return hasNoCommands() && replies.isWritten();
    }

    private boolean hasNoCommands() {
        return replies.isEmpty() && decoded.isEmpty() && input.isEmpty() && inputFailure == null;
    }

    ConnectionActivity activity() {
        return activity;
    }

    /** Clock time as of which the client is known to be connected. */
    double connectedAsOf() {
        return input.progress().connectedAsOf();
    }

    void requestOpened() {
        openRequests++;
    }

    void requestFinished() {
        openRequests--;
    }

    /** A command was decoded. */
    @Override public void channelRead(ChannelHandlerContext context, Object message) {
        front.commandEnded(this);
        if (inputDiscarded) {
            ReferenceCountUtil.release(message);
        } else {
            decoded.add((RedisMessage) message, input.readAt());
        }
    }

    /**
     * The socket has been read. Commands are handled after the loop has read all sockets: if the client closed right behind
     * its commands, the channel is inactive by then, and its requests are not forwarded.
     */
    private void inputRead() {
        if (state != State.SERVING) {
            return;                // it is discarded
        }
        activity.touch();
        front.markActive(this);
        scheduleTurn();
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            channel.eventLoop().execute(this::turn);
        }
    }

    /** Schedules a turn for the loop's next iteration, so that other connections are read before it. */
    private void scheduleNextTurn() {
        double wait = throttle.waitFor(ticker.now());
        if (turnScheduled) {
            return;
        }
        turnScheduled = true;
        if (wait > 0) {
            ticker.after(wait, this::turn);
        } else if (channel.eventLoop() instanceof SingleThreadEventLoop loop) {
            loop.executeAfterEventLoopIteration(() -> loop.execute(this::turn));
        } else {
            channel.eventLoop().execute(this::turn);
        }
    }

    /** Decodes and handles as much of the input as one turn may. */
    private void turn() {
        turnScheduled = false;
        if (state != State.SERVING || !channel.isActive()) {
            return;
        }
        if (throttle.waitFor(ticker.now()) <= 0 && channel.isWritable()) {
            decode();
            handling = true;
            handleDecoded();
            handling = false;
        }
        flushReplies();
        if (state == State.SERVING && channel.isWritable() && hasInput()) {
            scheduleNextTurn();
        }
    }

    private boolean hasInput() {
        return !input.isEmpty() || !decoded.isEmpty() || inputFailure != null;
    }

    private void decode() {
        int before = decoded.size();
        int bytes = 0;
        while (bytes < BYTES_PER_TURN && decoded.size() - before < COMMANDS_PER_TURN && !decoded.isFull()) {
            int length = input.decodeNext();
            bytes += length;
            if (length == 0 && !readOn()) {
                break;
            }
        }
        if (bytes > 0) {
            activity.readEnded(decoded.size() > before);
        }
    }

    /** Reads the socket once more unless that was read to its end; returns whether there is more to decode. */
    private boolean readOn() {
        if (!input.progress().isDrained()) {
            input.progress().readNow();
        }
        return !input.isEmpty();
    }

    /** Handles commands once all input is read, so that the disconnect of their client is known, or no more can be held. */
    private void handleDecoded() {
        boolean settled = input.progress().isDrained() && input.isEmpty() || decoded.isFull() || inputFailure != null;
        for (int i = 0; settled && i < COMMANDS_PER_TURN && !decoded.isEmpty(); i++) {
            if (state != State.SERVING || !channel.isWritable() || throttle.waitFor(ticker.now()) > 0) {
                return;
            }
            DecodedCommands.Command command = decoded.poll();
            throttle.handled();
            try {
                handle(command);
            } finally {
                ReferenceCountUtil.release(command.message());
            }
        }
        if (decoded.isEmpty() && inputFailure != null && state == State.SERVING) {
            InputFailure failure = inputFailure;
            inputFailure = null;
            failConnection(addSlot(), failure.error(), failure.reason());
        }
    }

    private void handle(DecodedCommands.Command command) {
        ReplySlot slot = addSlot();
        RedisMessage message = command.message();
        if (replies.size() > MAX_PENDING_REPLIES) {
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
            case RespWireNames.GET, RespWireNames.PUT -> submit(slot, command);
            default -> invalid(slot, "unknown command");
        }
    }

    private ReplySlot addSlot() {
        ReplySlot slot = new ReplySlot(this, intake, router);
        replies.add(slot);
        return slot;
    }

    private void submit(ReplySlot slot, DecodedCommands.Command decodedCommand) {
        RespCommand command;
        RequestArrived arrival;
        try {
            command = RespCommand.read(((ArrayRedisMessage) decodedCommand.message()).children());
            arrival = intake.open(command, decodedCommand.readAt());
        } catch (MalformedCommandException e) {
            invalid(slot, printable(e.getMessage()));
            return;
        }
        slot.reserve(command.idText());
        if (!mayForward(slot) || !slot.countMemory(decodedCommand.bytes())) {
            slot.rejected(0, false);
        } else {
            slot.submit(arrival, command);
        }
    }

    /**
     * With unread input the client may have left already, and with much of it the client sends faster than it is served. A
     * reply that would have to be held needs room.
     */
    private boolean mayForward(ReplySlot slot) {
        return input.progress().isDrained() && !input.isBacklogged() && openRequests < MAX_OPEN_REQUESTS && (replies.isNext(
            slot)
            || replies.memory().hasRoom());
    }

    private static String printable(String text) {
        return text.length() > MAX_ERROR_LENGTH ? "malformed" : text.replaceAll("[^ -~]", "?");
    }

    private void invalid(ReplySlot slot, String error) {
        slot.reply(new ErrorRedisMessage(RespWireNames.ERROR + " " + error));
        throttle.invalid(ticker.now());
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
            input.discard();
            RespCodec.discardIncomplete(channel.pipeline());
            front.commandEnded(this);
            memory.endIncomplete();
        }
    }

    /** Discards the incomplete command, to make room for those of others; earlier commands still get their replies. */
    void evictIncomplete() {
        failInput("ERR too many incomplete commands", CloseReason.INCOMPLETE_COMMAND_EVICTED);
    }

    private void failInput(String error, CloseReason reason) {
        discardInput();
        if (state == State.SERVING && inputFailure == null) {
            inputFailure = new InputFailure(error, reason);
            scheduleTurn();
        }
    }

    /**
     * Closes the connection if it is idle and nothing has arrived on it that was not read yet. What arrives later stays
     * unread: the reset tells the client that its request was not taken.
     */
    void closeIfIdle(CloseReason reason) {
        if (isIdle()) {
            input.progress().readNow();
        }
        if (isIdle() && state == State.SERVING) {
            closesFor(reason);
            markClosed();
            channel.close();
        }
    }

    /** Ends a connection whose client does not stop sending in a shutdown, unless replies are awaited. */
    void endInput() {
        if (replies.isEmpty()) {
            close(CloseReason.SHUTDOWN);
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

    /** Closes the connection after its last reply, in a shutdown; requests that arrive meanwhile stay unread. */
    private void closeForShutdown() {
        input.progress().readNow();
        if (hasNoCommands() && state == State.SERVING) {
            closesFor(CloseReason.SHUTDOWN);
            markClosed();
            front.lingeringCloseUnread(channel);
        }
    }

    /** The reply of a request that was served is replaced by an error, since there is no memory to hold it. */
    void replyDropped(String id, int bytes) {
        front.replyDropped(id, bytes);
    }

    /** Closes the connection if its client has read nothing for too long while replies wait for it. */
    void closeIfStalled() {
        if (replies.hasStalledClient(ticker.now())) {
            abort(CloseReason.CLIENT_STALLED);
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
                replies.openIds());
        }
        state = State.CLOSED;
        front.remove(this);
    }

    /** Writes the replies that are next in order; while commands are being handled, they are flushed at the end of that. */
    void flushReplies() {
        replies.writeReady();
        if (!handling && replies.flush()) {
            activity.touch();
            front.markActive(this);
        }
        if (state == State.CLOSING && replies.isEmpty()) {
            close(closeReason);
        } else if (state == State.SERVING && front.isShuttingDown() && hasNoCommands() && !handling) {
            closeForShutdown();
        }
        updateReading();
    }

    /** Reading stops only while memory allows none: a disconnect is only detected behind all that the client has sent. */
    private void updateReading() {
        if (state != State.CLOSED) {
            channel.config().setAutoRead(input.hasRoom());
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateReading();
        replies.writabilityChanged();
        if (channel.isWritable() && !replies.isEmpty()) {
            channel.eventLoop().execute(this::flushReplies);
        }
        if (channel.isWritable() && hasInput()) {
            scheduleTurn();
        }
    }

    @Override public void channelInactive(ChannelHandlerContext context) {
        logLateEnd();
        markClosed();
        decoded.clear();
        input.discard();
        front.commandEnded(this);
        memory.endIncomplete();
        replies.disconnected();
        front.checkShutdown();
    }

    /** Logs an end that lay behind unread input for too long, and what the input waited for. */
    private void logLateEnd() {
        if (state == State.SERVING) {
            front.log().endNoticed(channel.remoteAddress(), input.progress().unreadBefore(), () -> input.heldBytes()
                + " bytes held, "
                + decoded.size() + " commands decoded, " + replies.size() + " replies owed, throttled for "
                + (long) Math.max(0, throttle.waitFor(ticker.now())) + " ms");
        }
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
