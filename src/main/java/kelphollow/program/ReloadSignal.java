package kelphollow.program;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reloads the configuration on SIGHUP. A signal that arrives before clients are accepted is kept until then; without a
 * handler it would kill the process.
 */
final class ReloadSignal {
    private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());
    private static final Signal HANG_UP = new Signal("HUP");

    /** Reads and applies the configuration; an invalid or truncated one changes nothing. */
    interface Reload {
        void run() throws ConfigurationException;
    }

    private final AtomicBoolean pending = new AtomicBoolean();
    private final boolean wasIgnored;

    /** Installs a handler that records signals until {@link #activate}. */
    ReloadSignal() {
        wasIgnored = Signal.handle(HANG_UP, signal -> pending.set(true)) == SignalHandler.SIG_IGN;
    }

    /** Reloads at each signal from now on, and at once if a signal was recorded. */
    void activate(Reload reload) {
        Signal.handle(HANG_UP, signal -> reload(reload));
        if (pending.get()) {
            reload(reload);
        }
        if (wasIgnored) {
            LOG.warning("SIGHUP is ignored: this process inherited that from the one that started it (for example nohup);"
                + " the configuration will not be reloaded");
        }
    }

    /**
     * Keeps the current configuration if the new file is invalid or truncated; a file is applied whole or not at all. Each
     * signal runs on a thread of its own: one at a time reads and applies the file, so that an older one cannot win.
     */
    synchronized void reload(Reload reload) {
        try {
            reload.run();
            LOG.info("configuration reloaded");
        } catch (ConfigurationException | RuntimeException e) {
            LOG.severe("configuration not reloaded, the previous one stays in effect: " + e.getMessage());
        }
    }
}
