package kelphollow.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import kelphollow.store.FolderDisk;
import kelphollow.store.ProgressListener;
import kelphollow.store.IntegrityReport;
import kelphollow.store.Store;
import kelphollow.store.StoreFault;
import kelphollow.store.StoreOptions;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Base of the {@code store} tools: selects the folders and maps store faults to exit codes. */
abstract class StoreTool implements Main.Command {
    /** Exit code: the copies differ, and one of them is intact. */
    static final int DIFFERS = 1;
    /** Exit code: the folders cannot be used. */
    static final int UNUSABLE = 2;
    /** Exit code: data is damaged in both copies. */
    static final int DAMAGED = 3;
    /** Exit code: a running process has locked the store. */
    static final int LOCKED = 4;
    private static final long PROGRESS_INTERVAL_NANOS = 1_000_000_000L;

    @Option(name = "--config", metaVar = "FILE", usage = "the operator's file whose 'store' names the folders")
    private String file;

    @Argument(index = 0, metaVar = "FOLDER", usage = "the first folder, instead of a file")
    private String firstFolder;

    @Argument(index = 1, metaVar = "FOLDER", usage = "the second folder")
    private String secondFolder;

    private StoreOptions options = StoreOptions.DEFAULTS;
    private FolderDisk first;
    private FolderDisk second;

    @Override public final int run(PrintStream out, PrintStream err) throws ConfigurationException {
        findFolders();
        try {
            return execute(out, progress(err));
        } catch (StoreFault e) {
            err.println("kelphollow: store: " + e.getMessage());
            return switch (e.kind()) {
                case DAMAGED -> DAMAGED;
                case LOCKED -> LOCKED;
                default -> UNUSABLE;
            };
        } catch (IOException e) {
            err.println("kelphollow: store: " + StoreConfig.message(e));
            return UNUSABLE;
        }
    }

    /** Runs the tool; returns the exit code. */
    abstract int execute(PrintStream out, ProgressListener progress) throws IOException, StoreFault;

    private void findFolders() throws ConfigurationException {
        Path firstPath;
        Path secondPath;
        if (file != null) {
            StoreConfig config = StoreConfig.read(ConfigSection.readFile("--config", file));
            if (config == null) {
                throw new ConfigurationException("store is missing from " + file);
            }
            firstPath = config.first();
            secondPath = config.second();
            options = config.options();
        } else if (secondFolder == null) {
            throw new ConfigurationException("--config FILE or two folders are needed");
        } else {
            firstPath = Path.of(firstFolder);
            secondPath = Path.of(secondFolder);
        }
        if (!Files.isDirectory(firstPath) && !Files.isDirectory(secondPath)) {
            throw ConfigurationException.failed("store.folders",
                "neither " + firstPath + " nor " + secondPath + " is a folder");
        }
        first = new FolderDisk(firstPath);
        second = new FolderDisk(secondPath);
    }

    /** Prints at most one progress line a second, to standard error, since scripts read standard output. */
    private static ProgressListener progress(PrintStream err) {
        long[] lastPrintedAt = {System.nanoTime()};
        return (done, total) -> {
            if (System.nanoTime() - lastPrintedAt[0] > PROGRESS_INTERVAL_NANOS) {
                lastPrintedAt[0] = System.nanoTime();
                err.println("progress segments=" + done + " of=" + total);
            }
        };
    }

    final StoreOptions options() {
        return options;
    }

    final void checkAll() {
        options = options.withCheckAll(true);
    }

    final FolderDisk first() {
        return first;
    }

    final FolderDisk second() {
        return second;
    }

    /** Opens the store and recovers it, as a start does. */
    final Store open(ProgressListener progress) throws IOException, StoreFault {
        return Store.open(first, second, options.withInline(true), System::currentTimeMillis, progress);
    }

    static void print(PrintStream out, IntegrityReport report) {
        report.findings().forEach(out::println);
    }
}
