package kelphollow.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The recorded stores and the writes that produced each of them. Only their last operation differs. */
enum RecordedStore {
    /** Closed cleanly. */
    CLOSED("closed-cleanly", End.CLOSE, null, null),
    /** The process crashed while it wrote a batch to the first folder, so the batch is incomplete in both. */
    KILLED_IN_FIRST_COPY("killed-in-first-copy", End.WRITE, "a", ".seg"),
    /** The process crashed while it wrote a batch to the second folder, so the batch is complete in the first only. */
    KILLED_IN_SECOND_COPY("killed-in-second-copy", End.WRITE, "b", ".seg"),
    /** The process crashed while a compaction wrote a hint, so no manifest lists the compaction's output. */
    COMPACTION_IN_NO_MANIFEST("compaction-in-no-manifest", End.COMPACT, "b", ".hint"),
    /** The process crashed while a compaction replaced the second manifest, so the two manifests differ. */
    COMPACTION_IN_ONE_MANIFEST("compaction-in-one-manifest", End.COMPACT, "b", "MANIFEST.new");

    /** The last operation of the process. */
    private enum End { CLOSE, WRITE, COMPACT }

    /** The store's clock at the first write, in Unix milliseconds. */
    static final long START = 1_700_000_000_000L;
    /** The store's clock when the recorded stores are opened; some of their keys have expired by then. */
    static final long OPENED = START + 100_000;
    /** A time at which all keys with an expiry have expired. */
    static final long ALL_EXPIRED = START + 1_000_000_000;
    /** Small segments, so that few writes fill several; no threads, so that the bytes depend only on the writes. */
    static final StoreOptions OPTIONS = StoreOptions.DEFAULTS.withSegmentBytes(1_024).withInline(true);

    private static final long STEP_MILLIS = 250;
    private static final int FIRST_WRITES = 24;
    private static final int LATER_WRITES = 10;
    private static final int LONG_VALUE_BYTES = 1_500;    // longer than a segment
    private static final String UPLOADS = "uploads";
    private static final String BYTES = "bytes";
    private static final String NOT_ASCII = "zähler";

    private final String folder;
    private final End end;
    private final String crashFolder;
    private final String crashNameSuffix;

    RecordedStore(String folder, End end, String crashFolder, String crashNameSuffix) {
        this.folder = folder;
        this.end = end;
        this.crashFolder = crashFolder;
        this.crashNameSuffix = crashNameSuffix;
    }

    /** The name of its folder under the recorded stores. */
    String folder() {
        return folder;
    }

    /**
     * Performs the writes on a copy of {@link RecordedFolders#NEW}.
     *
     * @param onCrash called at the point where the process crashes, if it does
     */
    void write(Path store, Runnable onCrash) throws IOException, StoreFault {
        CrashingDisk.Process process = new CrashingDisk.Process(onCrash);
        Disk first = new CrashingDisk("a", new FolderDisk(store.resolve("a")), process);
        Disk second = new CrashingDisk("b", new FolderDisk(store.resolve("b")), process);
        long[] now = {START};
        try (Store open = Store.open(first, second, OPTIONS, () -> now[0])) {
            fill(open, now);
            if (crashFolder != null) {
                process.crashAt(crashFolder, crashNameSuffix);
            }
            end(open);
        }
    }

    private void end(Store store) throws StoreFault {
        switch (end) {
            case WRITE -> write(store, new Batch().put(UPLOADS, bytes("last"), bytes("cut off")), Durability.SYNCED);
            case COMPACT -> {
                try {
                    store.compactAll();
                } catch (IOException e) {
                    // the simulated crash
                }
            }
            default -> {}
        }
    }

    private static void fill(Store store, long[] now) throws IOException, StoreFault {
        for (int i = 0; i < FIRST_WRITES; i++) {
            writeNumbered(store, "upload-", i, now);
        }
        writeUnusualBytes(store, now);
        store.runMaintenance();       // writes hints for sealed segments and removes expired keys
        for (int i = 0; i < LATER_WRITES; i++) {
            writeNumbered(store, "later-", i, now);
        }
        write(store, new Batch().put(UPLOADS, bytes("upload-3"), bytes("written again"))
            .remove(UPLOADS, bytes("upload-4")).put(NOT_ASCII, bytes("größe"), bytes("2")), Durability.BUFFERED);
    }

    private static void writeNumbered(Store store, String prefix, int number, long[] now) {
        now[0] += STEP_MILLIS;
        byte[] key = bytes(prefix + number);
        byte[] value = bytes("value " + number + "x".repeat(number * 7 % 60));
        Batch batch = new Batch();
        switch (number % 5) {
            case 0 -> batch.put(UPLOADS, key, value, now[0] + STEP_MILLIS);
            case 1 -> batch.put(UPLOADS, key, value, OPENED - 1);
            case 2 -> batch.put(UPLOADS, key, value, OPENED + 1);
            default -> batch.put(UPLOADS, key, value);
        }
        if (number % 4 == 3) {
            batch.remove(UPLOADS, bytes(prefix + (number - 1)));
        }
        write(store, batch, number % 3 == 0 ? Durability.SYNCED : Durability.BUFFERED);
    }

    private static void writeUnusualBytes(Store store, long[] now) {
        now[0] += STEP_MILLIS;
        byte[] everyByte = new byte[1 << Byte.SIZE];
        for (int i = 0; i < everyByte.length; i++) {
            everyByte[i] = (byte) i;
        }
        write(store, new Batch().put(BYTES, new byte[0], everyByte).put(BYTES, everyByte, new byte[0])
            .put(BYTES, new byte[] {0}, bytes("zero")).put(BYTES, new byte[] {-1, 0, 127}, bytes("of three bytes"))
            .put(NOT_ASCII, bytes("größe"), bytes("1")), Durability.SYNCED);
        write(store, new Batch().put(BYTES, bytes("long"), new byte[LONG_VALUE_BYTES]), Durability.SYNCED);
        write(store, new Batch().remove(BYTES, new byte[] {0}).remove(BYTES, bytes("never written")), Durability.SYNCED);
    }

    private static void write(Store store, Batch batch, Durability durability) {
        store.write(batch, durability, Runnable::run, fault -> {});
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
