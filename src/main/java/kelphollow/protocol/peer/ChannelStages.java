package kelphollow.protocol.peer;

import io.netty.channel.ChannelPipeline;

/**
 * Handlers between a {@link PeerLine} and its sockets, as a simulated network needs them; there are none in production.
 */
public interface ChannelStages {
    /** No handler at all. */
    ChannelStages NONE = new ChannelStages() {};

    /** Called once with the pipeline of the datagram channel while it is empty. */
    default void datagrams(ChannelPipeline pipeline) {}

    /** Called with the pipeline of each full exchange that is started here while it is empty. */
    default void exchange(ChannelPipeline pipeline) {}
}
