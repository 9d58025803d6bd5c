package kelphollow.transport;

import io.netty.channel.Channel;

/** What a listening socket hands its connections to. */
public interface Front {
    /** Gives a new connection its handlers. */
    void accept(Channel channel);

    /** How many connections it serves; those that are only being closed do not count. */
    int connections();

    /** Closes one connection that is owed nothing, so that a new one can come; does nothing if there is none. */
    void evictIdle();

    /** Closes each connection as soon as it is owed nothing; runs the task once the last is closed. */
    void leave(Runnable whenLeft);
}
