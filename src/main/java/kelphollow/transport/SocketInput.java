package kelphollow.transport;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads a socket outside the event loop's own order. Called on the channel's event loop. */
public final class SocketInput {
    private SocketInput() {}

    /**
     * Reads what the socket has received, as the event loop would when it next selects the channel, and passes it to the
     * pipeline before this returns; also the end of the connection. Prevents a decision that input would change from being
     * taken by a loop that is late. No effect on a channel without a socket.
     */
    public static void readNow(Channel channel) {
        if (channel instanceof AbstractNioChannel && channel.isActive()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }
}
