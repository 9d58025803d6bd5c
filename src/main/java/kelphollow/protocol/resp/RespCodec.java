package kelphollow.protocol.resp;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Netty's RESP codec with the sizes of this protocol, and what both sides need to read and write its messages. */
final class RespCodec {
    /** In bytes. A longer value is streamed, see {@link StreamedValue}; the body of a command may not be longer. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** No node gives a longer value, in bytes. */
    static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_ELEMENTS = 8;

    private RespCodec() {}

    /** For a client's connection. */
    static ChannelHandler[] forClient() {
        return handlers(new SizeGuard());
    }

    /** For one exchange on a node's connection. */
    static ChannelHandler[] forNode() {
        return handlers(new StreamedValueSplitter());
    }

    private static ChannelHandler[] handlers(ChannelHandler longValues) {
        return new ChannelHandler[] {new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE), longValues,
            new RedisBulkStringAggregator(), new RedisArrayAggregator(MAX_ELEMENTS, 1), new RedisEncoder()};
    }

    /** Guards against a header that announces more than the protocol allows: Netty's own bound is 512 MiB. */
    private static final class SizeGuard extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof BulkStringHeaderRedisMessage header && header.bulkStringLength() > MAX_BUFFERED_BYTES) {
                throw new TooLongFrameException("a value of " + header.bulkStringLength() + " bytes");
            }
            context.fireChannelRead(message);
        }
    }

    /** A copy of the bytes of a bulk string, or null where it is null or another type; the message stays the caller's. */
    static byte[] bytes(RedisMessage message) {
        if (message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()) {
            byte[] bytes = new byte[bulk.content().readableBytes()];
            bulk.content().getBytes(bulk.content().readerIndex(), bytes);
            return bytes;
        }
        return null;
    }

    /** The text of a bulk string, or null where it is null or another type. */
    static String text(RedisMessage message) {
        byte[] bytes = bytes(message);
        return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
    }

    /** A bulk string over these bytes, which are not copied. */
    static FullBulkStringRedisMessage bulk(byte[] bytes) {
        return new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(bytes));
    }

    static FullBulkStringRedisMessage bulk(String text) {
        return bulk(text.getBytes(StandardCharsets.UTF_8));
    }

    static RedisMessage array(List<RedisMessage> elements) {
        return new ArrayRedisMessage(elements);
    }
}
