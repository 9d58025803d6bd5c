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
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.LingeringClose;

/**
 * One client's connection: replies leave in the order of its commands. Releases each decoded message once the command has
 * been handled or thrown away. For the event loop alone.
 */
final class RespConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = Logger.getLogger(RespConnection.class.getName());
    // Further ones are rejected as they come. Reading never stops for that: only a connection that is read shows that its
    // client has gone.
    private static final int MAX_OPEN_REQUESTS = 256;
    // Commands whose replies have not left; memory: some 100 bytes each. More end the connection.
    private static final int MAX_PENDING_REPLIES = 4_096;
    private static final int MAX_ERROR_LENGTH = 200;

    private enum State {
        /** Commands are taken. */
        SERVING,
        /** What was taken still gets its reply; what comes is thrown away. */
        ENDING,
        /** Nothing is owed any more, or the client has gone. */
        ENDED
    }

    private final RespFront front;
    private final RequestRouter router;
    private final RequestIntake intake;
    private final Ticker ticker;
    private final Channel channel;
    private final ConnectionActivity activity;
    private final ReadThrottle throttle;
    private final ArrayDeque<ReplySlot> slots = new ArrayDeque<>();
    /** Decoded and not yet handled. */
    private final ArrayDeque<RedisMessage> decoded = new ArrayDeque<>();
    private State state = State.SERVING;
    /** Whether a turn of the loop that handles what was decoded is due or going on; replies leave at its end. */
    private boolean handling;
    private boolean unflushed;
    private ChannelFuture lastWrite;
    private int openRequests;

    RespConnection(RespFront front, RequestRouter router, RequestIntake intake, Ticker ticker, Channel channel) {
        this.front = front;
        this.router = router;
        this.intake = intake;
        this.ticker = ticker;
        this.channel = channel;
        this.activity = new ConnectionActivity(ticker);
        this.throttle = new ReadThrottle(this, channel, ticker);
    }

    /** Nothing is owed on it: no request is open and the last reply has left. */
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
        decoded.add((RedisMessage) message);
    }

    /**
     * Commands are handled after the read that brought them: by then it is known whether the client's end came right behind.
     * Guards against forwarding requests of a client that has gone.
     */
    @Override public void channelReadComplete(ChannelHandlerContext context) {
        boolean complete = !decoded.isEmpty();
        activity.readEnded(complete);
        front.active(this);
        if (!complete) {
            flushReplies();
        } else if (!handling) {
            handling = true;
            channel.eventLoop().execute(this::handleDecoded);
        }
    }

    private void handleDecoded() {
        for (RedisMessage message; (message = decoded.poll()) != null;) {
            try {
                if (state == State.SERVING && channel.isActive()) {
                    handle(message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        handling = false;
        flushReplies();
    }

    private void handle(RedisMessage message) {
        ReplySlot slot = addSlot();
        if (slots.size() > MAX_PENDING_REPLIES) {
            endWith(slot, "ERR too many commands at once");
            return;
        }
        String name = message instanceof ArrayRedisMessage array && !array.isNull() && !array.children().isEmpty()
            ? RespCodec.text(array.children().get(0)) : null;
        if (name == null) {
            endWith(slot, "ERR Protocol error: expected a command");
            return;
        }
        activity.requested();
        switch (name.toUpperCase(Locale.ROOT)) {
            case "PING" -> slot.reply(new SimpleStringRedisMessage("PONG"));
            case "CLIENT", "SELECT" -> slot.reply(new SimpleStringRedisMessage("OK"));
            case RespWords.GET, RespWords.PUT -> submit(slot, (ArrayRedisMessage) message);
            default -> invalid(slot, "unknown command");
        }
    }

    private ReplySlot addSlot() {
        ReplySlot slot = new ReplySlot(this, intake, router);
        slots.add(slot);
        return slot;
    }

    private void submit(ReplySlot slot, ArrayRedisMessage message) {
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
        if (openRequests >= MAX_OPEN_REQUESTS) {
            slot.rejected(0, false);
        } else {
            slot.submit(arrival, command);
        }
    }

    private static String printable(String text) {
        return text.length() > MAX_ERROR_LENGTH ? "malformed" : text.replaceAll("[^ -~]", "?");
    }

    private void invalid(ReplySlot slot, String error) {
        slot.reply(new ErrorRedisMessage(RespWords.ERROR + " " + error));
        throttle.invalidCommand();
    }

    /** An error that leaves the connection unreadable: what came before it still gets its reply, in order. */
    private void endWith(ReplySlot slot, String error) {
        state = State.ENDING;
        channel.pipeline().addFirst(new LingeringClose.Discard());
        slot.reply(new ErrorRedisMessage(error));
    }

    /** Closes it once all that it is owed has left; what crosses that is never forwarded. */
    void close() {
        if (state != State.ENDED) {
            end();
            front.lingeringClose(channel);
        }
    }

    private void end() {
        state = State.ENDED;
        throttle.stop();
        front.remove(this);
    }

    /** Writes the replies whose turn has come; they are flushed at the end of a turn that handles commands. */
    void flushReplies() {
        for (ReplySlot next; (next = slots.peek()) != null && next.isReady() && write(next);) {
            slots.poll();
        }
        if (unflushed && !handling) {
            unflushed = false;
            channel.flush();
            activity.touch();
            front.active(this);
        }
        if (slots.isEmpty() && decoded.isEmpty() && (state == State.ENDING || front.isShuttingDown())) {
            close();
        }
        throttle.update();
    }

    /** Writes a slot's reply; false while its value streams: what is behind it waits. */
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
        end();
        for (RedisMessage message; (message = decoded.poll()) != null;) {
            ReferenceCountUtil.release(message);
        }
        slots.forEach(ReplySlot::disconnected);
        slots.clear();
        front.checkShutdown();
    }

    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close();
        } else if (state == State.SERVING) {
            LOG.log(Level.FINE, "unreadable input", cause);
            handleDecoded();               // what came before it
            endWith(addSlot(), "ERR Protocol error");
        }
    }
}
