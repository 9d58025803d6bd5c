package kelphollow.protocol.peer;

import io.netty.channel.ChannelPipeline;

/**
 * Adds handlers between a {@link SocketPeerTransport} and its sockets, for a simulated network; production uses {@link
 * #NONE}.
 */
public interface ChannelCustomizer {
    /** Adds no handlers. */
    ChannelCustomizer NONE = new ChannelCustomizer() {};

    /** Adds handlers to the still empty pipeline of the datagram channel; called once. */
    default void customizeDatagrams(ChannelPipeline pipeline) {}

    /** Adds handlers to the still empty pipeline of a full exchange that this instance starts. */
    default void customizeExchange(ChannelPipeline pipeline) {}
}
