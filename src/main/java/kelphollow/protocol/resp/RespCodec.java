package kelphollow.protocol.resp;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.redis.ArrayRedisMessage;
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

    /** Returns the handlers for a client's connection, whose commands are counted in {@code memory}. */
    static ChannelHandler[] forClient(CommandMemory memory) {
        return new ChannelHandler[] {decoder(), new BulkStringCollector(memory), new RedisArrayAggregator(MAX_ELEMENTS, 1),
            new RedisEncoder()};
    }

    /** Returns the handlers for one exchange on a connection to a node. */
    static ChannelHandler[] forNode() {
        return new ChannelHandler[] {decoder(), new StreamedValueSplitter(), new RedisBulkStringAggregator(),
            new RedisArrayAggregator(MAX_ELEMENTS, 1), new RedisEncoder()};
    }

    private static RedisDecoder decoder() {
        return new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE);
    }

    /** Discards the client's incomplete command. */
    static void discardIncomplete(ChannelPipeline pipeline) {
        pipeline.remove(BulkStringCollector.class);
        pipeline.remove(RedisArrayAggregator.class);
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
