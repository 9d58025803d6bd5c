package kelphollow.program;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.logging.Level;
import java.util.logging.Logger;
import kelphollow.ledger.Ledger;
import kelphollow.routing.Ticker;
import kelphollow.store.FolderDisk;
import kelphollow.store.IntegrityReport;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import kelphollow.store.StoreOptions;

/**
 * The {@code store} object of an operator's file, checked and with its defaults. Sizes in bytes.
 *
 * @param listExpires a kept node list is used up to this age, in milliseconds
 */
record StoreConfig(Path first, Path second, StoreOptions options, double listExpires) {
    private static final Logger LOG = Logger.getLogger(StoreConfig.class.getName());
    private static final long HOUR = 3_600_000;
    private static final double LIST_EXPIRES = 3_600_000;

    /** Null where the file has no such object: nothing is kept then. */
    static StoreConfig read(Map<?, ?> json) throws Config.Bad {
        if (json.get("store") == null) {
            return null;
        }
        Map<?, ?> store = Config.object(json, "store");
        Config.known(store, "store.", "folders", "segment_bytes", "largest_batch", "queue_bytes",
            "compact_bytes_per_second", "scrub_hours", "check_all", "list_expires_ms");
        if (!(store.get("folders") instanceof List<?> folders) || folders.size() != 2) {
            throw new Config.Bad("store.folders must be a list of two folders");
        }
        Path first = folder(folders.get(0), 0), second = folder(folders.get(1), 1);
        if (first.equals(second)) {
            throw new Config.Bad("store.folders[1] is the same as store.folders[0]: two copies need two folders");
        }
        if (store.get("check_all") != null && !(store.get("check_all") instanceof Boolean)) {
            throw new Config.Bad("store.check_all must be true or false");
        }
        StoreOptions defaults = StoreOptions.DEFAULTS;
        long largest = whole(store, "largest_batch", defaults.largestBatch(), 256, 256 << 20);
        StoreOptions options = new StoreOptions(whole(store, "segment_bytes", defaults.segmentBytes(), 4096, 1 << 30),
            (int) largest, whole(store, "queue_bytes", Math.max(largest, defaults.queueBytes()), largest, 1L << 40),
            defaults.groupBytes(),
            whole(store, "compact_bytes_per_second", defaults.compactBytesPerSecond(), 4096, 1L << 40),
            whole(store, "scrub_hours", defaults.scrubEvery() / HOUR, 0, 24 * 366) * HOUR,
            Boolean.TRUE.equals(store.get("check_all")), false);
        return new StoreConfig(first, second, options,
            Config.number(store, "store.", "list_expires_ms", LIST_EXPIRES, 0));
    }

    private static long whole(Map<?, ?> store, String key, long absent, long least, long most) throws Config.Bad {
        double value = Config.number(store, "store.", key, (double) absent, least);
        if (value > most) {
            throw new Config.Bad("store." + key + " must be at most " + most);
        }
        return (long) value;
    }

    private static Path folder(Object told, int which) throws Config.Bad {
        String key = "store.folders[" + which + "]";
        if (!(told instanceof String text) || text.isEmpty()) {
            throw new Config.Bad(key + " is not a text");
        }
        try {
            return Path.of(text).toAbsolutePath().normalize();
        } catch (InvalidPathException e) {
            throw new Config.Bad(key + ": '" + text + "' is no path");
        }
    }

    /** Opens the store and begins a life in it. What recovery found and repaired goes into the log. */
    Ledger open(Executor loop, Ticker ticker) throws Config.Bad {
        try {
            Store store = Store.open(new FolderDisk(first), new FolderDisk(second), options,
                () -> (long) ticker.now());
            for (IntegrityReport.Finding finding : store.report().findings()) {
                LOG.log(finding.kind() == IntegrityReport.Kind.CREATED ? Level.INFO : Level.WARNING, "store: {0}", finding);
            }
            return Ledger.open(store, loop);
        } catch (StoreFault e) {
            throw new Config.Bad("store.folders: " + e.getMessage() + (e.kind() == StoreFault.Kind.DAMAGED
                ? "; see 'store verify' and 'store repair'" : ""));
        } catch (IOException e) {
            throw new Config.Bad("store.folders: " + message(e));
        }
    }

    /** The system's word, with the file that it is about. */
    static String message(IOException e) {
        return e instanceof java.nio.file.FileSystemException f && f.getReason() == null
            ? f.getFile() + ": " + e.getClass().getSimpleName().replace("Exception", "") : e.getMessage();
    }
}
