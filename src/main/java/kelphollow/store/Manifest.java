package kelphollow.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Which segments make up the store. A file of its own in each folder, replaced whole: a new one takes effect by its
 * renaming, so that at each moment either the old list or the new one holds.
 *
 * @param generation grows by one with each replacement; of two manifests the higher holds
 * @param nextSegment no segment had this number yet
 * @param nextSequence no batch that the segments do not show had this number or a higher one
 * @param time the latest time that the store has seen, in Unix milliseconds
 */
record Manifest(StoreId store, long generation, long nextSegment, long nextSequence, long time, List<Entry> segments) {
    static final String NAME = "MANIFEST", NEW_NAME = "MANIFEST.new";
    private static final int HEAD = 72, ENTRY = 48;

    /**
     * One segment; {@code length} 0 while it is written to.
     *
     * @param firstSequence no operation in it has a lower one
     * @param hintLength 0 when it has no hint file
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
        ByteBuffer b = ByteBuffer.allocate(HEAD + segments.size() * ENTRY + 4);
        b.put(Format.MANIFEST_MAGIC).putInt(Format.VERSION).putInt(segments.size());
        b.putLong(store.high()).putLong(store.low());
        b.putLong(generation).putLong(nextSegment).putLong(nextSequence).putLong(time).putLong(0);
        for (Entry e : segments) {
            b.putLong(e.id).putLong(e.length).putLong(e.firstSequence).putInt(e.operations).putInt(e.hintLength)
                .putInt(e.hintCrc).putInt(0).putLong(0);
        }
        b.putInt(Format.crc(b.array(), 0, b.position()));
        return b.array();
    }

    /** What a folder's manifest file is. */
    record Found(Manifest manifest, Format.Start start) {}

    static Found read(byte[] bytes) {
        Format.Start start = bytes.length < HEAD + 4 ? Format.Start.DAMAGED
            : Format.start(bytes, Format.MANIFEST_MAGIC, null, bytes.length);
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (start != Format.Start.SOUND || bytes.length != HEAD + b.getInt(12) * (long) ENTRY + 4) {
            return new Found(null, start == Format.Start.SOUND ? Format.Start.DAMAGED : start);
        }
        int count = b.getInt(12);
        b.position(16);
        StoreId store = new StoreId(b.getLong(), b.getLong());
        long generation = b.getLong(), nextSegment = b.getLong(), nextSequence = b.getLong(), time = b.getLong();
        b.getLong();
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new Entry(b.getLong(), b.getLong(), b.getLong(), b.getInt(), b.getInt(), b.getInt()));
            b.position(b.position() + 12);
        }
        return new Found(new Manifest(store, generation, nextSegment, nextSequence, time, List.copyOf(entries)),
            Format.Start.SOUND);
    }

    Entry entry(long id) {
        return segments.stream().filter(e -> e.id == id).findFirst().orElse(null);
    }

    /** Replaces the manifest of each folder in turn; after a crash in between recovery takes the higher generation. */
    void replace(Disk[] disks) throws IOException {
        for (Disk disk : disks) {
            write(disk);
        }
    }

    void write(Disk disk) throws IOException {
        AtomicFile.replace(disk, NAME, NEW_NAME, bytes());
    }

    boolean isSame(byte[] found) {
        return Arrays.equals(found, bytes());
    }
}
