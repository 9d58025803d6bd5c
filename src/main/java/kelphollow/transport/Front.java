package kelphollow.transport;

import io.netty.channel.Channel;

/** What a listening socket hands its connections to. Confined to the event loop. */
public interface Front {
    /** Gives a new connection its handlers; the front owns the connection from here on. */
    void accept(Channel channel);

    /** How many connections it serves; those that are only being closed do not count. */
    int connections();

    /** Closes one connection that is owed nothing, so that a new one can come; no effect if there is none. */
    void evictIdle();

    /** Closes each connection as soon as it is owed nothing; runs the task once the last is closed. */
    void shutDown(Runnable whenClosed);
}
