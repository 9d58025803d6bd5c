package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The list of segments that make up the store. Each folder has its own manifest file, which is replaced atomically by a
 * rename, so that at any time either the old list or the new one is current.
 *
 * @param generation increases by one with each replacement; of two manifests the one with the higher generation is current
 * @param nextSegment id of the next segment; never used before
 * @param nextSequence sequences from this one on were used only by batches that are found in the segments
 * @param time latest time that the store has recorded, in Unix milliseconds
 */
record Manifest(StoreId store, long generation, long nextSegment, long nextSequence, long time, List<Entry> segments) {
    static final String NAME = "MANIFEST";
    /** Name of the temporary file that replaces the manifest. */
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
     * @param length in bytes, 0 for the active segment
     * @param firstSequence lower bound of the sequences of its operations
     * @param hintLength in bytes, 0 if it has no hint file
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

    /** Result of decoding a manifest file; {@code manifest} is null unless {@code state} is VALID. */
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

    /** Replaces the manifest in both folders in turn; after a crash in between, recovery uses the higher generation. */
    void replace(Disk[] disks) throws IOException {
        for (Disk disk : disks) {
            write(disk);
        }
    }

    /** Replaces the manifest in one folder. */
    void write(Disk disk) throws IOException {
        AtomicFile.replace(disk, NAME, NEW_NAME, bytes());
    }

    /** Whether these bytes are the encoding of this manifest. */
    boolean hasBytes(byte[] found) {
        return Arrays.equals(found, bytes());
    }
}
