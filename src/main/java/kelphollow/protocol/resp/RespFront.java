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
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.routing.ResponseCallback;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Request;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/** The front for the platform's clients. */
public final class RespFront implements Front {
    private static final Logger LOG = Logger.getLogger(RespFront.class.getName());
    // Requests of one connection that may be open at once; further ones are refused as they come. Their reading never
    // stops for that: only a connection that is read shows that its client has gone.
    private static final int MOST_OPEN = 256;
    // Commands of one connection that may wait for their answers' turn; memory: some 100 bytes each. More end it.
    private static final int MOST_WAITING = 4_096;
    // A connection that was never asked on, or with which a command came only in part, may stand still for so long.
    private static final double SILENT = 2_200;
    // One that has been asked on is kept longer, as long as there is room; no command may take longer to come.
    private static final double IDLE = 10_000;
    private static final double SWEEP = 100;
    // Between the last answer and the close, and in all with a client that is slow to read: at SIGTERM connections close
    // from 500 ms before the kill on, and by then the process has to be gone.
    private static final double LINGER = 250;
    private static final double LINGER_OVERALL = 400;
    // Room is made at the expense of connections that have been idle for so long: none that has just come.
    private static final double EVICTED_AFTER = 50;
    // After so many commands that are none, each further one stops the reading of its connection for a time.
    private static final int ERROR_ALLOWANCE = 3;
    private static final double READ_PAUSE = 50;

    private final RequestRouter router;
    private final Ticker ticker;
    private final int mostClients;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> plans = new HashSet<>();
    /** In the order of their last sign of life. */
    private final Set<Client> clients = new LinkedHashSet<>();
    /** Ids of requests that are open: nodes see them, so that no two may be alike. */
    private final Set<String> openIds = new HashSet<>();
    private final LingeringClose lingering;
    private Runnable leaving;

    /** {@code mostClients} is how many connections there may be in all, beside some that are being closed. */
    public RespFront(RequestRouter router, Ticker ticker, ControlSettings settings, int mostClients) {
        this.router = router;
        this.ticker = ticker;
        this.mostClients = mostClients;
        this.lingering = new LingeringClose(ticker, LINGER_OVERALL, LINGER, mostClients / 6);
        know(settings.classes());
        settings.plans().forEach(p -> plans.add(p.name()));
        sweepLater();
    }

    /** Classes that new settings name are taken from now on; those taken before stay, for clients that lag. */
    public void know(List<RequestClass> told) {
        told.forEach(c -> classes.put(c.name(), c));
    }

    @Override public int connections() {
        return clients.size();
    }

    @Override public void accept(Channel channel) {
        channel.pipeline().addLast(Resp.clientCodec());
        channel.pipeline().addLast(new Client(channel));
    }

    /** Guards descriptors and memory against clients that connect and say nothing, half a command, or nothing more. */
    private void sweepLater() {
        ticker.after(SWEEP, () -> {
            boolean crowded = clients.stream().filter(c -> c.asked).count() > mostClients / 2;
            List.copyOf(clients).stream().filter(c -> c.isIdle() && c.hasBeenKeptEnough(crowded)).forEach(Client::close);
            sweepLater();
        });
    }

    /** Those that never asked go first, then those that have been idle longest. */
    @Override public void evictIdle() {
        double now = ticker.now();
        Client oldest = null;
        for (Client client : clients) {
            if (now - client.heardAt < EVICTED_AFTER) {
                break;
            }
            if (client.isIdle() && (oldest == null || oldest.asked && !client.asked)) {
                oldest = client;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
    }

    @Override public void shutDown(Runnable whenLeft) {
        leaving = whenLeft;
        List.copyOf(clients).forEach(Client::flushAnswers);
        checkLeft();
    }

    private void checkLeft() {
        if (leaving != null && clients.isEmpty() && lingering.connections() == 0) {
            leaving.run();
        }
    }

    /** What is done with what comes on a client's connection. */
    private enum State {
        /** Commands are taken. */
        SERVING,
        /** What was taken is still answered; what comes is thrown away. */
        ENDING,
        /** All has been answered, or the client has gone. */
        ENDED
    }

    /** One client's connection: answers leave in the order of its commands. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final ArrayDeque<Slot> slots = new ArrayDeque<>();
        /** Decoded and not yet looked at. */
        private final ArrayDeque<RedisMessage> arrived = new ArrayDeque<>();
        private State state = State.SERVING;
        private boolean asked, partly, taking, unflushed, readingPaused;
        private double heardAt = ticker.now(), partlySince;
        private ChannelFuture lastAnswer;
        private int rejected, open;

        Client(Channel channel) {
            this.channel = channel;
            clients.add(this);
        }

        /** Nothing is owed on it: no request is open and the last answer has left. */
        boolean isIdle() {
            return slots.isEmpty() && arrived.isEmpty() && (lastAnswer == null || lastAnswer.isDone());
        }

        boolean hasBeenKeptEnough(boolean crowded) {
            double still = ticker.now() - heardAt;
            return still >= (!asked || partly || crowded ? SILENT : IDLE)
                || partly && ticker.now() - partlySince >= IDLE;
        }

        private void heard() {
            heardAt = ticker.now();
            clients.remove(this);
            clients.add(this);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            arrived.add((RedisMessage) message);
        }

        /**
         * Commands are taken after the read that brought them: by then it is known whether the client's end came right
         * behind. Guards against sending on what a client asked that has gone.
         */
        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean wasPartly = partly;
            partly = arrived.isEmpty();
            heard();
            if (partly && !wasPartly) {
                partlySince = heardAt;     // not since the last answer: a client may rest before it writes slowly
            }
            if (partly) {
                flushAnswers();
            } else if (!taking) {
                taking = true;             // answers to what was read at once leave at once
                channel.eventLoop().execute(this::take);
            }
        }

        private void take() {
            for (RedisMessage message; (message = arrived.poll()) != null;) {
                try {
                    if (state == State.SERVING && channel.isActive()) {
                        command(message);
                    }
                } finally {
                    ReferenceCountUtil.release(message);
                }
            }
            taking = false;
            flushAnswers();
        }

        private void command(RedisMessage message) {
            Slot slot = new Slot(this);
            slots.add(slot);
            if (slots.size() > MOST_WAITING) {
                refuseMore(slot, "ERR too many commands at once");
                return;
            }
            if (!(message instanceof ArrayRedisMessage array) || array.isNull() || array.children().isEmpty()
                || Resp.text(array.children().get(0)) == null) {
                refuseMore(slot, "ERR Protocol error: expected a command");
                return;
            }
            asked = true;
            String name = Resp.text(array.children().get(0)).toUpperCase(Locale.ROOT);
            switch (name) {
                case "PING" -> slot.answer(new SimpleStringRedisMessage("PONG"));
                case "CLIENT", "SELECT" -> slot.answer(new SimpleStringRedisMessage("OK"));
                case "OBJ.GET", "OBJ.PUT" -> {
                    try {
                        take(slot, RespCommand.read(array.children()));
                    } catch (RespCommand.Malformed e) {
                        refuse(slot, clean(e.getMessage()));
                    }
                }
                default -> refuse(slot, "unknown command");
            }
        }

        private void take(Slot slot, RespCommand command) throws RespCommand.Malformed {
            RequestArrived arrival = command.arrival(ticker.now());
            RequestClass kind = classes.get(arrival.requestClass());
            if (kind == null || !plans.contains(arrival.plan())) {
                throw new RespCommand.Malformed("class or plan is not known");
            }
            if (kind.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                command.word("k");         // without it no node could drop a repeat
            }
            if (!openIds.add(command.idText())) {
                throw new RespCommand.Malformed("a request with this id is open");
            }
            slot.id = command.idText();
            if (open >= MOST_OPEN) {
                slot.rejected(0, false);
                return;
            }
            open++;
            slot.isOpen = true;
            Request request = router.submit(arrival, new RespCall(command, slot), slot);
            slot.request = slot.reply == null ? request : null;
        }

        /** Guards against floods of commands that are none: each is answered, but the next is read after a pause. */
        private void refuse(Slot slot, String error) {
            slot.answer(new ErrorRedisMessage("ERR " + error));
            if (++rejected > ERROR_ALLOWANCE && !readingPaused) {
                readingPaused = true;
                throttle();
                ticker.after(READ_PAUSE, () -> {
                    readingPaused = false;
                    throttle();
                });
            }
        }

        /** An error that leaves the connection unreadable: what came before it is still answered, in order. */
        private void refuseMore(Slot slot, String error) {
            state = State.ENDING;
            channel.pipeline().addFirst(new LingeringClose.Discard());
            slot.answer(new ErrorRedisMessage(error));
        }

        /** Closes it once all has left that it is owed; what crosses that is never sent on. */
        void close() {
            if (state != State.ENDED) {
                state = State.ENDED;
                clients.remove(this);
                lingering.begin(channel);
            }
        }

        void flushAnswers() {
            for (Slot next; (next = slots.peek()) != null && (next.reply != null || next.value != null);) {
                if (next.value != null) {
                    next.value.flowTo(channel);
                    if (next.request != null) {
                        break;             // it goes on; what is behind it waits
                    }
                    lastAnswer = next.value.end();
                } else {
                    lastAnswer = channel.write(next.reply);
                    unflushed = true;
                }
                slots.poll();
            }
            if (unflushed && !taking) {
                unflushed = false;
                channel.flush();
                heard();
            }
            if (slots.isEmpty() && arrived.isEmpty() && (state == State.ENDING || leaving != null)) {
                close();
            }
            throttle();
        }

        /**
         * Guards memory against a client that does not read what it is sent; when it goes, it resets the connection, and
         * the write that waits for it shows that. While a request is open nothing else stops the reading.
         */
        private void throttle() {
            if (state != State.ENDED) {
                channel.config().setAutoRead(channel.isWritable() && (!readingPaused || open > 0));
            }
        }

        @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            throttle();
            if (!slots.isEmpty() && slots.peek().value != null) {
                slots.peek().value.moved();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            state = State.ENDED;
            clients.remove(this);
            for (RedisMessage message; (message = arrived.poll()) != null;) {
                ReferenceCountUtil.release(message);
            }
            for (Slot slot : slots) {
                openIds.remove(slot.id);
                if (slot.request != null) {
                    router.clientDisconnected(slot.request);
                    slot.request = null;
                }
                if (slot.value != null) {
                    slot.value.drop();
                }
            }
            slots.clear();
            checkLeft();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof java.io.IOException) {
                ctx.close();
            } else if (state == State.SERVING) {
                LOG.log(Level.FINE, "unreadable input", cause);
                take();                    // what came before it
                Slot slot = new Slot(this);
                slots.add(slot);
                refuseMore(slot, "ERR Protocol error");
            }
        }
    }

    private static String clean(String text) {
        return text.length() > 200 ? "malformed" : text.replaceAll("[^ -~]", "?");
    }

    /** The place of one command's answer among those of its connection. */
    private final class Slot implements ResponseCallback, LongValue.Taker {
        private final Client client;
        private Request request;
        private RedisMessage reply;
        private LongValue value;
        private String id;
        private boolean isOpen;

        Slot(Client client) {
            this.client = client;
        }

        void answer(RedisMessage message) {
            reply = message;
            over();
        }

        private void over() {
            client.open -= isOpen ? 1 : 0;
            isOpen = false;
            request = null;
            openIds.remove(id);
            client.flushAnswers();
        }

        @Override public void begins(LongValue begun) {
            if (request == null) {
                begun.drop();              // answered or gone meanwhile, and the attempt could not be called off
            } else {
                value = begun;
                client.flushAnswers();
            }
        }

        @Override public void served(Object answer) {
            if (value != null) {
                over();
            } else {
                answer(Resp.bulk((byte[]) answer));
            }
        }

        /** A value that has begun to flow can't become an error: its connection closes, so that it is seen to be short. */
        private void error(String error) {
            if (value != null && value.hasFlowed()) {
                request = null;
                value.breakOff();
            } else {
                if (value != null) {
                    value.drop();
                    value = null;
                }
                answer(new ErrorRedisMessage(error));
            }
        }

        @Override public void rejected(double after, boolean timedOut) {
            error(after > 0 ? "BUSY " + (long) Math.ceil(after) : "BUSY");
        }

        @Override public void failed(boolean timedOut) {
            error(timedOut ? "ERR timed out" : "ERR failed");
        }
    }
}
