package kelphollow.protocol.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;

/**
 * One side of a full exchange. The responder sends a challenge; the caller's packet is authenticated together with it, and
 * the response together with the authentication code of that packet, so a recorded exchange cannot be replayed. Frames
 * have a four-byte length prefix.
 */
abstract class ExchangeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int CHALLENGE_BYTES = 16;
    static final int TIMEOUT_SECONDS = 2;
    private static final int LENGTH_BYTES = 4;

    private final DropCounter drops;

    ExchangeHandler(DropCounter drops) {
        this.drops = drops;
    }

    /** Adds the read timeout and the framing. */
    static void addFraming(Channel channel) {
        channel.pipeline().addLast(new ReadTimeoutHandler(TIMEOUT_SECONDS, TimeUnit.SECONDS),
            new LengthFieldBasedFrameDecoder(SocketPeerTransport.MAX_EXCHANGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new LengthFieldPrepender(LENGTH_BYTES));
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            drops.count(DropReason.OVERSIZED);
        }
        ctx.close();
    }
}
