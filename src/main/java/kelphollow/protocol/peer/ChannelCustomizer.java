package kelphollow.protocol.peer;

import io.netty.channel.ChannelPipeline;

/**
 * Handlers between a {@link SocketPeerTransport} and its sockets, as a simulated network needs them; there are none in production.
 */
public interface ChannelCustomizer {
    /** No handler at all. */
    ChannelCustomizer NONE = new ChannelCustomizer() {};

    /** Called once with the pipeline of the datagram channel while it is empty. */
    default void customizeDatagrams(ChannelPipeline pipeline) {}

    /** Called with the pipeline of each full exchange that is started here while it is empty. */
    default void customizeExchange(ChannelPipeline pipeline) {}
}
