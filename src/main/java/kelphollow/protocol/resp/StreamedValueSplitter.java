package kelphollow.protocol.resp;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Splits a value that is too long to be buffered out of a node's reply: passes on its length as a {@link Head}, then its
 * bytes as they arrive, then the remaining elements as a separate array. All other messages pass unchanged, behind a
 * {@link ShortHead} if they are a value. Rejects a
 * header that announces more than {@link RespCodec#MAX_VALUE_BYTES}. Follows the decoder; one instance per exchange.
 */
final class StreamedValueSplitter extends ChannelInboundHandlerAdapter {
    /** Announces a value of {@code length} bytes; they follow as buffers that the receiver releases. */
    record Head(long length) {}

    /** Announces a value that is short enough to be buffered. */
    enum ShortHead {
        /** The only instance: the value's length does not matter. */
        INSTANCE
    }

    private enum State {
        /** Nothing of the reply has been received. */
        AWAITING_REPLY,
        /** The reply's array header is held back until the length of its first element is known. */
        AWAITING_VALUE,
        /** The bytes of a long value are being received. */
        IN_VALUE,
        /** Messages pass unchanged. */
        PASSING
    }

    private State state = State.AWAITING_REPLY;
    private ArrayHeaderRedisMessage heldHeader;

    @Override public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (state == State.IN_VALUE) {
            valueContent(context, (BulkStringRedisContent) message);
        } else if (state == State.AWAITING_REPLY && message instanceof ArrayHeaderRedisMessage array
            && array.length() == NodeReply.ELEMENTS) {
            state = State.AWAITING_VALUE;
            heldHeader = array;
        } else if (message instanceof BulkStringHeaderRedisMessage value
            && value.bulkStringLength() > RespCodec.MAX_BUFFERED_BYTES) {
            longValue(context, value);
        } else {
            pass(context, message);
        }
    }

    private void valueContent(ChannelHandlerContext context, BulkStringRedisContent message) {
        boolean last = message instanceof LastBulkStringRedisContent;
        if (last) {
            state = State.PASSING;
        }
        context.fireChannelRead(message.content());
        if (last) {
            context.fireChannelRead(new ArrayHeaderRedisMessage(NodeReply.ELEMENTS - 1));
        }
    }

    private void longValue(ChannelHandlerContext context, BulkStringHeaderRedisMessage value) {
        if (state != State.AWAITING_VALUE || value.bulkStringLength() > RespCodec.MAX_VALUE_BYTES) {
            throw new TooLongFrameException("unexpected bulk string of " + value.bulkStringLength()
                + " bytes, allowed: a first"
                + " element of up to " + RespCodec.MAX_VALUE_BYTES);
        }
        heldHeader = null;
        state = State.IN_VALUE;
        context.fireChannelRead(new Head(value.bulkStringLength()));
    }

    private void pass(ChannelHandlerContext context, Object message) {
        if (state == State.AWAITING_VALUE) {
            context.fireChannelRead(ShortHead.INSTANCE);
            context.fireChannelRead(heldHeader);
            heldHeader = null;
        }
        state = State.PASSING;
        context.fireChannelRead(message);
    }
}
