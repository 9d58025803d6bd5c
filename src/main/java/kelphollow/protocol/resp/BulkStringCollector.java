package kelphollow.protocol.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Collects a client's bulk strings on the heap and counts them as they arrive. Netty's aggregator would keep the receive
 * buffers instead, which are larger than what they carry and come from the JVM's small direct memory. Rejects a header
 * above the protocol's limit; Netty's own limit is 512 MiB. Follows the decoder; one instance per connection.
 */
final class BulkStringCollector extends ChannelInboundHandlerAdapter {
    private static final int INITIAL_BYTES = 4 * 1024;

    private final CommandMemory memory;
    /** The bulk string that is incomplete, or null. */
    private ByteBuf collected;

    BulkStringCollector(CommandMemory memory) {
        this.memory = memory;
    }

    @Override public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof FullBulkStringRedisMessage) {
            context.fireChannelRead(message);          // null or empty
        } else if (message instanceof BulkStringHeaderRedisMessage header) {
            begin(header);
        } else if (message instanceof BulkStringRedisContent content) {
            collect(context, content);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void begin(BulkStringHeaderRedisMessage header) {
        int length = header.bulkStringLength();
        if (length > RespCodec.MAX_BUFFERED_BYTES) {
            throw new TooLongFrameException("bulk string of " + length + " bytes exceeds " + RespCodec.MAX_BUFFERED_BYTES);
        }
        collected = Unpooled.buffer(Math.min(length, INITIAL_BYTES), length);
        memory.received(collected.capacity());
    }

    private void collect(ChannelHandlerContext context, BulkStringRedisContent content) {
        int capacity = collected.capacity();
        try {
            collected.writeBytes(content.content());
        } finally {
            content.release();
        }
        memory.received(collected.capacity() - capacity);
        if (content instanceof LastBulkStringRedisContent && collected != null) {
            ByteBuf complete = collected;
            collected = null;
            context.fireChannelRead(new FullBulkStringRedisMessage(complete));
        }
    }

    @Override public void handlerRemoved(ChannelHandlerContext context) {
        collected = null;
    }
}
