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
     *
     * @return whether the channel has a socket, so that input may arrive unnoticed
     */
    public static boolean readNow(Channel channel) {
        if (!(channel instanceof AbstractNioChannel)) {
            return false;
        }
        if (channel.isActive()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
        return true;
    }
}
