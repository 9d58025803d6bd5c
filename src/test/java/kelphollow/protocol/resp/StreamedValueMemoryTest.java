package kelphollow.protocol.resp;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import kelphollow.routing.Ticker;
import kelphollow.transport.CloseReason;
import org.junit.jupiter.api.Test;

/**
 * What a value holds while its client cannot take it. The direct memory that the deploy file gives, divided by the
 * connections to nodes that its descriptors allow, is 60 KiB for each.
 */
class StreamedValueMemoryTest {
    private static final int ALLOWED_BYTES = 20 * 1024 * 1024 / (1_024 / 3);
    private static final int ONE_READ_BYTES = 16 * 1024;
    private final EmbeddedChannel node = new EmbeddedChannel();
    private final StreamedValue value = new StreamedValue(4 * 1024 * 1024, node, new Ticker() {
        @Override public double now() {
            return 0;
        }

        @Override public Timeout after(double millis, Runnable task) {
            return () -> {};
        }
    });

    @Test void aValueThatWaitsForEarlierRepliesPausesItsNodeWithinItsShareOfTheMemory() {
        value.announce(new WaitingReceiver());
        int held = 0;
        for (; node.config().isAutoRead(); held += ONE_READ_BYTES) {
            value.append(Unpooled.directBuffer().writeZero(ONE_READ_BYTES));
        }

        assertTrue(held <= ALLOWED_BYTES, held + " bytes");
        value.discard();
        assertTrue(node.config().isAutoRead(), "a discarded value is read to its end");
    }

    /** A client's side whose earlier replies are not complete. */
    private static final class WaitingReceiver implements StreamedValue.Receiver {
        @Override public void valueStarted(StreamedValue started) {}

        @Override public void aborted(CloseReason reason) {}
    }
}
