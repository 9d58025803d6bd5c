package kelphollow.protocol.resp;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Takes a value that is too long to be buffered out of a node's reply: its length goes on as a {@link Head}, its bytes as
 * they come, and what stands behind it as an array of its own. All else passes unchanged. One for each exchange, behind
 * the decoder. Guards memory, also against a header that announces more than any node may give.
 */
final class StreamedValueSplitter extends ChannelInboundHandlerAdapter {
    /** A value of so many bytes begins; its bytes follow as buffers that the receiver releases. */
    record Head(long length) {}

    private enum State {
        /** Nothing of the reply has come. */
        AWAITING_REPLY,
        /** The reply's array header is withheld until its first element tells how long it is. */
        AWAITING_VALUE,
        /** The bytes of a long value come. */
        IN_VALUE,
        /** All passes unchanged. */
        PASSING
    }

    private State state = State.AWAITING_REPLY;
    private ArrayHeaderRedisMessage withheld;

    @Override public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (state == State.IN_VALUE) {
            valueContent(context, (BulkStringRedisContent) message);
        } else if (state == State.AWAITING_REPLY && message instanceof ArrayHeaderRedisMessage array
            && array.length() == NodeReply.ELEMENTS) {
            state = State.AWAITING_VALUE;
            withheld = array;
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
            throw new TooLongFrameException("a value of " + value.bulkStringLength() + " bytes");
        }
        withheld = null;
        state = State.IN_VALUE;
        context.fireChannelRead(new Head(value.bulkStringLength()));
    }

    private void pass(ChannelHandlerContext context, Object message) {
        if (state == State.AWAITING_VALUE) {
            context.fireChannelRead(withheld);
            withheld = null;
        }
        state = State.PASSING;
        context.fireChannelRead(message);
    }
}
