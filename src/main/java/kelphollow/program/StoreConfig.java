package kelphollow.program;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;
import java.util.List;
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
 * The validated {@code store} section of a gateway's configuration file, with defaults applied. Sizes in bytes.
 *
 * @param first folder of the first copy
 * @param second folder of the second copy
 * @param endpointsExpire maximum age of a stored endpoint list that is still used, in milliseconds
 */
record StoreConfig(Path first, Path second, StoreOptions options, double endpointsExpire) {
    private static final Logger LOG = Logger.getLogger(StoreConfig.class.getName());
    private static final long MILLIS_PER_HOUR = 3_600_000;
    private static final double DEFAULT_ENDPOINTS_EXPIRE_MS = 3_600_000;
    private static final long MAX_SCRUB_HOURS = 24 * 366;
    private static final long MIN_SEGMENT_BYTES = 4096;
    private static final long MAX_SEGMENT_BYTES = 1 << 30;
    private static final long MIN_BATCH_BYTES = 256;
    private static final long MAX_BATCH_BYTES = 256 << 20;
    private static final long MIN_COMPACT_BYTES = 4096;
    private static final long MAX_BYTES = 1L << 40;

    /** Reads the section from the parsed file; null if it is missing, in which case nothing is stored. */
    static StoreConfig read(ConfigSection json) throws ConfigurationException {
        if (!json.has("store")) {
            return null;
        }
        ConfigSection store = json.section("store");
        store.allowOnly("folders", "segment_bytes", "largest_batch", "queue_bytes", "compact_bytes_per_second",
            "scrub_hours", "check_all", "list_expires_ms");
        if (!(store.value("folders") instanceof List<?> folders) || folders.size() != 2) {
            throw new ConfigurationException("store.folders must be a list of two folders");
        }
        Path first = folder(folders, 0);
        Path second = folder(folders, 1);
        if (first.equals(second)) {
            throw new ConfigurationException(
                "store.folders[1] is the same as store.folders[0]: two copies need two folders");
        }
        boolean checkAll = store.flag("check_all", false);
        StoreOptions options = options(store, checkAll);
        return new StoreConfig(first, second, options, store.number("list_expires_ms", DEFAULT_ENDPOINTS_EXPIRE_MS, 0));
    }

    private static StoreOptions options(ConfigSection store, boolean checkAll) throws ConfigurationException {
        StoreOptions defaults = StoreOptions.DEFAULTS;
        long largestBatch = store.integer("largest_batch", defaults.maxBatchBytes(), MIN_BATCH_BYTES, MAX_BATCH_BYTES);
        return new StoreOptions(
            store.integer("segment_bytes", defaults.segmentBytes(), MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
            (int) largestBatch,
            store.integer("queue_bytes", Math.max(largestBatch, defaults.queueBytes()), largestBatch, MAX_BYTES),
            defaults.groupBytes(),
            store.integer("compact_bytes_per_second", defaults.compactBytesPerSecond(), MIN_COMPACT_BYTES, MAX_BYTES),
            store.integer("scrub_hours", defaults.scrubIntervalMillis() / MILLIS_PER_HOUR, 0, MAX_SCRUB_HOURS)
                * MILLIS_PER_HOUR,
            checkAll, false);
    }

    private static Path folder(List<?> folders, int index) throws ConfigurationException {
        String key = "store.folders[" + index + "]";
        if (!(folders.get(index) instanceof String text) || text.isEmpty()) {
            throw ConfigurationException.notString(key);
        }
        return ConfigSection.parsePath(text, key).toAbsolutePath().normalize();
    }

    /** Opens the store, logs what recovery found and repaired, and starts a new run. */
    Ledger open(Executor loop, Ticker ticker) throws ConfigurationException {
        try {
            Store store = Store.open(new FolderDisk(first), new FolderDisk(second), options,
                () -> (long) ticker.now());
            for (IntegrityReport.Finding finding : store.report().findings()) {
                LOG.log(finding.kind() == IntegrityReport.Kind.CREATED ? Level.INFO : Level.WARNING, "store: {0}", finding);
            }
            return Ledger.open(store, loop);
        } catch (StoreFault e) {
            throw ConfigurationException.failed("store.folders", e.getMessage()
                + (e.kind() == StoreFault.Kind.DAMAGED ? "; see 'store verify' and 'store repair'" : ""));
        } catch (IOException e) {
            throw ConfigurationException.failed("store.folders", message(e));
        }
    }

    /** Returns the exception's message; names the file and the kind of failure where Java gives no reason. */
    static String message(IOException exception) {
        return exception instanceof FileSystemException file && file.getReason() == null
            ? file.getFile() + ": " + exception.getClass().getSimpleName().replace("Exception", "") : exception.getMessage();
    }
}
