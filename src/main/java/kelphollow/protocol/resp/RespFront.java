package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.routing.Caller;
import kelphollow.routing.Core;
import kelphollow.routing.Request;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;

/** The front for the platform's clients. */
public final class RespFront implements Front {
    private static final Logger LOG = Logger.getLogger(RespFront.class.getName());
    // Requests of one connection that may be open at once; further ones stay in the socket until some are answered.
    private static final int MOST_OPEN = 256;

    private final Core core;
    private final Ticker ticker;
    private final Set<Client> clients = new LinkedHashSet<>();
    private Runnable leaving;

    public RespFront(Core core, Ticker ticker) {
        this.core = core;
        this.ticker = ticker;
    }

    @Override public void accept(Channel channel) {
        Resp.install(channel);
        channel.pipeline().addLast(new Client(channel));
    }

    @Override public void leave(Runnable whenLeft) {
        leaving = whenLeft;
        List.copyOf(clients).forEach(Client::flushAnswers);
        checkLeft();
    }

    private void checkLeft() {
        if (leaving != null && clients.isEmpty()) {
            leaving.run();
        }
    }

    /** One client's connection: answers leave in the order of its commands. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final ArrayDeque<Slot> slots = new ArrayDeque<>();
        private boolean closing;

        Client(Channel channel) {
            this.channel = channel;
            clients.add(this);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!closing) {
                    command((RedisMessage) message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void command(RedisMessage message) {
            Slot slot = new Slot(this);
            slots.add(slot);
            if (!(message instanceof ArrayRedisMessage array) || array.isNull() || array.children().isEmpty()
                || Resp.text(array.children().get(0)) == null) {
                refuseMore(slot, "ERR Protocol error: expected a command");
                return;
            }
            String name = Resp.text(array.children().get(0)).toUpperCase(Locale.ROOT);
            switch (name) {
                case "PING" -> slot.answer(new SimpleStringRedisMessage("PONG"));
                case "CLIENT", "SELECT" -> slot.answer(new SimpleStringRedisMessage("OK"));
                case "OBJ.GET", "OBJ.PUT" -> {
                    try {
                        RespCommand command = RespCommand.read(array.children());
                        Request request = core.take(command.facts(ticker.now()), command, slot);
                        slot.request = slot.reply == null ? request : null;
                    } catch (RespCommand.Malformed e) {
                        slot.answer(new ErrorRedisMessage("ERR " + clean(e.getMessage())));
                    }
                }
                default -> slot.answer(new ErrorRedisMessage("ERR unknown command"));
            }
        }

        /** An error that leaves the connection unreadable: what came before it is still answered, in order. */
        private void refuseMore(Slot slot, String error) {
            closing = true;
            slot.answer(new ErrorRedisMessage(error));
        }

        void flushAnswers() {
            boolean wrote = false;
            while (!slots.isEmpty() && slots.peek().reply != null) {
                channel.write(slots.poll().reply);
                wrote = true;
            }
            if (wrote) {
                channel.flush();
            }
            if (slots.isEmpty() && (closing || leaving != null)) {
                closing = true;
                channel.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
            }
            throttle();
        }

        /** Guards memory against a client that sends faster than it reads. */
        private void throttle() {
            channel.config().setAutoRead(slots.size() < MOST_OPEN && channel.isWritable());
        }

        @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            throttle();
        }

        @Override public void channelReadComplete(ChannelHandlerContext ctx) {
            throttle();
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            closing = true;
            clients.remove(this);
            for (Slot slot : slots) {
                if (slot.request != null) {
                    core.gone(slot.request);
                }
            }
            slots.clear();
            checkLeft();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof java.io.IOException) {
                ctx.close();
            } else if (!closing) {
                LOG.log(Level.FINE, "unreadable input", cause);
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
    private static final class Slot implements Caller {
        private final Client client;
        private Request request;
        private RedisMessage reply;

        Slot(Client client) {
            this.client = client;
        }

        void answer(RedisMessage message) {
            reply = message;
            request = null;
            client.flushAnswers();
        }

        @Override public void served(Object value) {
            answer(Resp.bulk((byte[]) value));
        }

        @Override public void refused(double after, boolean timedOut) {
            answer(new ErrorRedisMessage(after > 0 ? "BUSY " + (long) Math.ceil(after) : "BUSY"));
        }

        @Override public void failed(boolean timedOut) {
            answer(new ErrorRedisMessage(timedOut ? "ERR timed out" : "ERR failed"));
        }
    }
}
