package kelphollow.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The recorded stores and the writes that made each of them. The writes are the same in all but their end. */
enum RecordedStore {
    /** Closed in order. */
    CLOSED("closed-cleanly", End.CLOSE, null, null),
    /** The process ended while it wrote a batch to the first folder, so that the batch is whole in neither. */
    KILLED_IN_FIRST_COPY("killed-in-first-copy", End.WRITE, "a", ".seg"),
    /** The process ended while it wrote a batch to the second folder, so that the batch is whole in the first. */
    KILLED_IN_SECOND_COPY("killed-in-second-copy", End.WRITE, "b", ".seg"),
    /** The process ended while a compaction wrote a hint, so that no manifest names what it wrote. */
    COMPACTION_IN_NO_MANIFEST("compaction-in-no-manifest", End.COMPACT, "b", ".hint"),
    /** The process ended while a compaction replaced the second manifest, so that the two differ. */
    COMPACTION_IN_ONE_MANIFEST("compaction-in-one-manifest", End.COMPACT, "b", "MANIFEST.new");

    /** The last thing that a process does. */
    private enum End { CLOSE, WRITE, COMPACT }

    /** The store's clock at the first write, in Unix milliseconds. */
    static final long START = 1_700_000_000_000L;
    /** The clock at which the recorded stores are opened; some of what they hold has expired by then. */
    static final long OPENED = START + 100_000;
    /** The clock at which all that ever expires has expired. */
    static final long ALL_EXPIRED = START + 1_000_000_000;
    /** Small segments, so that few writes fill several; no threads, so that the bytes depend on the writes alone. */
    static final StoreOptions OPTIONS = StoreOptions.DEFAULTS.withSegmentBytes(1_024).withInline(true);

    private static final long STEP = 250;
    private static final int FIRST_WRITES = 24;
    private static final int LATER_WRITES = 10;
    private static final int LONGER_THAN_A_SEGMENT = 1_500;
    private static final String UPLOADS = "uploads";
    private static final String BYTES = "bytes";
    private static final String NOT_ASCII = "zähler";

    private final String folder;
    private final End end;
    private final String cutFolder;
    private final String cutNameEnding;

    RecordedStore(String folder, End end, String cutFolder, String cutNameEnding) {
        this.folder = folder;
        this.end = end;
        this.cutFolder = cutFolder;
        this.cutNameEnding = cutNameEnding;
    }

    /** The name of its folder among the recorded ones. */
    String folder() {
        return folder;
    }

    /**
     * Makes the writes in a folder that holds a copy of {@link RecordedFolders#NEW}.
     *
     * @param atCut called where the process ends, if it does
     */
    void write(Path store, Runnable atCut) throws IOException, StoreFault {
        CrashingDisk.Process process = new CrashingDisk.Process(atCut);
        Disk first = new CrashingDisk("a", new FolderDisk(store.resolve("a")), process);
        Disk second = new CrashingDisk("b", new FolderDisk(store.resolve("b")), process);
        long[] now = {START};
        try (Store open = Store.open(first, second, OPTIONS, () -> now[0])) {
            fill(open, now);
            if (cutFolder != null) {
                process.crashAt(cutFolder, cutNameEnding);
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
                    // the process ended
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
        store.runMaintenance();       // from here on sealed segments have hints, and what expired meanwhile is removed
        for (int i = 0; i < LATER_WRITES; i++) {
            writeNumbered(store, "later-", i, now);
        }
        write(store, new Batch().put(UPLOADS, bytes("upload-3"), bytes("written again"))
            .remove(UPLOADS, bytes("upload-4")).put(NOT_ASCII, bytes("größe"), bytes("2")), Durability.BUFFERED);
    }

    private static void writeNumbered(Store store, String prefix, int number, long[] now) {
        now[0] += STEP;
        byte[] key = bytes(prefix + number);
        byte[] value = bytes("value " + number + "x".repeat(number * 7 % 60));
        Batch batch = new Batch();
        switch (number % 5) {
            case 0 -> batch.put(UPLOADS, key, value, now[0] + STEP);
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
        now[0] += STEP;
        byte[] everyByte = new byte[1 << Byte.SIZE];
        for (int i = 0; i < everyByte.length; i++) {
            everyByte[i] = (byte) i;
        }
        write(store, new Batch().put(BYTES, new byte[0], everyByte).put(BYTES, everyByte, new byte[0])
            .put(BYTES, new byte[] {0}, bytes("zero")).put(BYTES, new byte[] {-1, 0, 127}, bytes("of three bytes"))
            .put(NOT_ASCII, bytes("größe"), bytes("1")), Durability.SYNCED);
        write(store, new Batch().put(BYTES, bytes("long"), new byte[LONGER_THAN_A_SEGMENT]), Durability.SYNCED);
        write(store, new Batch().remove(BYTES, new byte[] {0}).remove(BYTES, bytes("never written")), Durability.SYNCED);
    }

    private static void write(Store store, Batch batch, Durability grade) {
        store.write(batch, grade, Runnable::run, fault -> {});
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
