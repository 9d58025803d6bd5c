package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import kelphollow.routing.Ticker;

/**
 * Whether a client's connection is read. Guards memory against a client that does not read what it is sent; when it
 * goes, it resets the connection, and the write that waits for it shows that. Guards against floods of invalid commands:
 * each gets its reply, but after some of them the next is read after a pause. While a request is open only the former
 * stops the reading, since a connection that is not read does not show that its client has gone. For the event loop
 * alone.
 */
final class ReadThrottle {
    // After so many invalid commands each further one pauses the reading.
    private static final int INVALID_ALLOWANCE = 3;
    // In milliseconds.
    private static final double PAUSE = 50;

    private enum State { READING, PAUSED, STOPPED }

    private final RespConnection connection;
    private final Channel channel;
    private final Ticker ticker;
    private State state = State.READING;
    private int invalidCommands;

    ReadThrottle(RespConnection connection, Channel channel, Ticker ticker) {
        this.connection = connection;
        this.channel = channel;
        this.ticker = ticker;
    }

    /** An invalid command was read. */
    void invalidCommand() {
        if (++invalidCommands > INVALID_ALLOWANCE && state == State.READING) {
            state = State.PAUSED;
            update();
            ticker.after(PAUSE, () -> {
                if (state == State.PAUSED) {
                    state = State.READING;
                    update();
                }
            });
        }
    }

    /** The socket's buffer or the number of open requests has changed. */
    void update() {
        if (state != State.STOPPED) {
            boolean paused = state == State.PAUSED && connection.openRequests() == 0;
            channel.config().setAutoRead(channel.isWritable() && !paused);
        }
    }

    /** The connection is closing: whether it is read is no more decided here. */
    void stop() {
        state = State.STOPPED;
    }
}
