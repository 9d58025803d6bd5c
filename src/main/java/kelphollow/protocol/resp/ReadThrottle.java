package kelphollow.protocol.resp;

import io.netty.channel.Channel;
import kelphollow.routing.Ticker;

/**
 * Decides whether a client's connection is read. Reading stops while the channel is not writable, which bounds the memory
 * held for a client that does not read its replies; when such a client disconnects, the pending write fails. Reading also
 * pauses after each further invalid command once a few have been received, which limits floods of them; each still gets
 * its reply. That pause does not apply while a request is open, because a disconnect is only detected on a connection that
 * is read. Confined to the event loop.
 */
final class ReadThrottle {
    private static final int MAX_INVALID_WITHOUT_PAUSE = 3;
    private static final double PAUSE_MS = 50;

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

    /** Records an invalid command; pauses reading if there have been too many. */
    void invalidCommand() {
        if (++invalidCommands > MAX_INVALID_WITHOUT_PAUSE && state == State.READING) {
            state = State.PAUSED;
            update();
            ticker.after(PAUSE_MS, () -> {
                if (state == State.PAUSED) {
                    state = State.READING;
                    update();
                }
            });
        }
    }

    /** Applies the current state; called after the channel's writability or the number of open requests has changed. */
    void update() {
        if (state != State.STOPPED) {
            boolean paused = state == State.PAUSED && connection.openRequests() == 0;
            channel.config().setAutoRead(channel.isWritable() && !paused);
        }
    }

    /** Leaves the channel's reading as it is from now on, because the connection is closing. */
    void stop() {
        state = State.STOPPED;
    }
}
