package kelphollow.transport;

import io.netty.channel.Channel;

/** The client-facing side of one protocol, which owns the connections of a {@link Server}. Confined to the event loop. */
public interface Front {
    /** Gives a new connection its handlers; the front owns the connection from now on. */
    void accept(Channel channel);

    /** A new connection is closed, because there is no room for it. */
    void rejected(Channel channel);

    /** How many connections it serves, not counting those that are closing. */
    int connections();

    /** Closes one connection that awaits no response, to make room for a new one; no effect if there is none. */
    void evictIdle();

    /** Closes each connection as soon as it awaits no response; runs the task once the last is closed. */
    void shutDown(Runnable whenClosed);
}
