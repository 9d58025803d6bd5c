package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Which segments make up the store. A file of its own in each folder, replaced completely: a new one takes effect by its
 * renaming, so that at each moment either the old list or the new one is in force.
 *
 * @param generation grows by one with each replacement; of two manifests the higher is in force
 * @param nextSegment no segment had this number yet
 * @param nextSequence no batch that the segments do not show had this number or a higher one
 * @param time the latest time that the store has recorded, in Unix milliseconds
 */
record Manifest(StoreId store, long generation, long nextSegment, long nextSequence, long time, List<Entry> segments) {
    static final String NAME = "MANIFEST";
    /** Name of the file that is about to replace the manifest. */
    static final String NEW_NAME = "MANIFEST.new";
    private static final int HEADER_BYTES = 72;
    private static final int COUNT_AT = 12;
    private static final int STORE_AT = 16;
    private static final int ENTRY_BYTES = 48;
    private static final int ENTRY_RESERVED_BYTES = 12;
    private static final int CHECKSUM_BYTES = 4;

    /**
     * One segment.
     *
     * @param length in bytes, 0 while it is written to
     * @param firstSequence no operation in it has a lower one
     * @param hintLength in bytes, 0 when it has no hint file
     */
    record Entry(long id, long length, long firstSequence, int operations, int hintLength, int hintCrc) {
        boolean isSealed() {
            return length > 0;
        }

        Entry withHint(int newLength, int newCrc) {
            return new Entry(id, length, firstSequence, operations, newLength, newCrc);
        }
    }

    byte[] bytes() {
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + segments.size() * ENTRY_BYTES + CHECKSUM_BYTES);
        file.put(Format.MANIFEST_MAGIC).putInt(Format.VERSION).putInt(segments.size());
        file.putLong(store.high()).putLong(store.low());
        file.putLong(generation).putLong(nextSegment).putLong(nextSequence).putLong(time).putLong(0);
        for (Entry entry : segments) {
            file.putLong(entry.id).putLong(entry.length).putLong(entry.firstSequence).putInt(entry.operations)
                .putInt(entry.hintLength).putInt(entry.hintCrc).putInt(0).putLong(0);
        }
        file.putInt(Format.crc(file.array(), 0, file.position()));
        return file.array();
    }

    /** A folder's manifest file; {@code manifest} is null unless {@code state} is VALID. */
    record ReadResult(Manifest manifest, Format.HeaderState state) {}

    static ReadResult read(byte[] bytes) {
        Format.HeaderState state = bytes.length < HEADER_BYTES + CHECKSUM_BYTES ? Format.HeaderState.DAMAGED
            : Format.headerState(bytes, Format.MANIFEST_MAGIC, null, bytes.length);
        if (state != Format.HeaderState.VALID) {
            return new ReadResult(null, state);
        }
        int count = Format.int32(bytes, COUNT_AT);
        if (bytes.length != HEADER_BYTES + count * (long) ENTRY_BYTES + CHECKSUM_BYTES) {
            return new ReadResult(null, Format.HeaderState.DAMAGED);
        }
        ByteBuffer file = ByteBuffer.wrap(bytes).position(STORE_AT);
        StoreId store = new StoreId(file.getLong(), file.getLong());
        long generation = file.getLong();
        long nextSegment = file.getLong();
        long nextSequence = file.getLong();
        long time = file.getLong();
        file.position(HEADER_BYTES);
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new Entry(file.getLong(), file.getLong(), file.getLong(), file.getInt(), file.getInt(),
                file.getInt()));
            file.position(file.position() + ENTRY_RESERVED_BYTES);
        }
        return new ReadResult(new Manifest(store, generation, nextSegment, nextSequence, time, List.copyOf(entries)),
            Format.HeaderState.VALID);
    }

    /** The entry of a segment, or null. */
    Entry entry(long id) {
        return segments.stream().filter(entry -> entry.id == id).findFirst().orElse(null);
    }

    /** Replaces the manifest of each folder in turn; after a crash in between recovery takes the higher generation. */
    void replace(Disk[] disks) throws IOException {
        for (Disk disk : disks) {
            write(disk);
        }
    }

    /** Replaces the manifest of one folder. */
    void write(Disk disk) throws IOException {
        AtomicFile.replace(disk, NAME, NEW_NAME, bytes());
    }

    /** Whether these are the bytes of this manifest's file. */
    boolean hasBytes(byte[] found) {
        return Arrays.equals(found, bytes());
    }
}
