package kelphollow.program;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP: the configuration is read again. A signal before clients are accepted is remembered and served then; unhandled it
 * would end the program.
 */
final class ReloadSignal {
    private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());
    private static final Signal HANG_UP = new Signal("HUP");

    /** Reads the configuration and follows it; one that is faulty or truncated changes nothing. */
    interface Reload {
        void run() throws ConfigurationException;
    }

    private final AtomicBoolean pending = new AtomicBoolean();
    private final boolean wasIgnored;

    /** Remembers signals from now on. */
    ReloadSignal() {
        wasIgnored = Signal.handle(HANG_UP, signal -> pending.set(true)) == SignalHandler.SIG_IGN;
    }

    /** Reloads at each signal from now on, and now if one came before. */
    void activate(Reload reload) {
        Signal.handle(HANG_UP, signal -> reload(reload));
        if (pending.get()) {
            reload(reload);
        }
        if (wasIgnored) {
            LOG.warning("SIGHUP is ignored, as whoever started this program left it (nohup does): new configurations"
                + " will not be read");
        }
    }

    /**
     * Guards against a file that is faulty or truncated: it is read as a whole, and if it has a fault all stays as it
     * was.
     */
    private static void reload(Reload reload) {
        try {
            reload.run();
            LOG.info("read the configuration again");
        } catch (ConfigurationException | RuntimeException e) {
            LOG.severe("configuration, the last good one stands: " + e.getMessage());
        }
    }
}
