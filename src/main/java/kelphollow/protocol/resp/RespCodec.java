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

/** Netty's RESP codec with this protocol's size limits, and helpers to read and build its messages. */
final class RespCodec {
    /** Longest body of a command, and longest value that is buffered; longer ones are streamed by {@link StreamedValue}. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** Longest value that a node returns. */
    static final int MAX_VALUE_BYTES = 4 * 1024 * 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;
    private static final int MAX_ELEMENTS = 8;

    private RespCodec() {}

    /** Returns the handlers for a client's connection. */
    static ChannelHandler[] forClient() {
        return handlers(new SizeGuard());
    }

    /** Returns the handlers for one exchange on a connection to a node. */
    static ChannelHandler[] forNode() {
        return handlers(new StreamedValueSplitter());
    }

    private static ChannelHandler[] handlers(ChannelHandler longValueHandler) {
        return new ChannelHandler[] {new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE), longValueHandler,
            new RedisBulkStringAggregator(), new RedisArrayAggregator(MAX_ELEMENTS, 1), new RedisEncoder()};
    }

    /** Rejects a bulk string header above the protocol's limit; Netty's own limit is 512 MiB. */
    private static final class SizeGuard extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof BulkStringHeaderRedisMessage header && header.bulkStringLength() > MAX_BUFFERED_BYTES) {
                throw new TooLongFrameException("bulk string of " + header.bulkStringLength()
                    + " bytes exceeds " + MAX_BUFFERED_BYTES);
            }
            context.fireChannelRead(message);
        }
    }

    /** Copies the bytes of a bulk string; null if it is null or another type. The caller keeps ownership of the message. */
    static byte[] bytes(RedisMessage message) {
        if (message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()) {
            byte[] bytes = new byte[bulk.content().readableBytes()];
            bulk.content().getBytes(bulk.content().readerIndex(), bytes);
            return bytes;
        }
        return null;
    }

    /** Returns the text of a bulk string, or null if it is null or another type. */
    static String text(RedisMessage message) {
        byte[] bytes = bytes(message);
        return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
    }

    /** Wraps the bytes in a bulk string without copying them. */
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
