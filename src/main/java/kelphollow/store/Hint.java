package kelphollow.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What a sealed segment holds, without the values: an opening reads it instead of the segment. The manifest holds its
 * length and checksum, so that a hint of another segment or of an older state is seen, whatever it says of itself.
 */
final class Hint {
    private static final int HEAD = 48, ENTRY = 32;

    private Hint() { }

    /** One operation of the segment. */
    record Entry(byte kind, byte[] key, Index.Place place) { }

    static byte[] bytes(StoreId store, long segment, List<Entry> entries) {
        int size = HEAD + 4;
        for (Entry e : entries) {
            size += ENTRY + e.key.length;
        }
        ByteBuffer b = ByteBuffer.allocate(size);
        b.put(Format.HINT_MAGIC).putInt(Format.VERSION).putInt(entries.size());
        b.putLong(store.high()).putLong(store.low()).putLong(segment).putLong(0);
        for (Entry e : entries) {
            b.put(e.kind).put((byte) 0).putShort((short) 0).putInt(e.key.length);
            b.putInt(e.place.offset()).putInt(e.place.length());
            b.putLong(e.place.sequence()).putLong(e.place.expires()).put(e.key);
        }
        b.putInt(Format.crc(b.array(), 0, b.position()));
        return b.array();
    }

    /** Reads a hint, or null if it is not the one that the manifest means. */
    static List<Entry> read(byte[] bytes, StoreId store, Manifest.Entry of) {
        if (of.hintLength() == 0 || bytes.length != of.hintLength() || bytes.length < HEAD + 4) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (Format.start(bytes, Format.HINT_MAGIC, store, bytes.length) != Format.Start.SOUND
            || b.getInt(bytes.length - 4) != of.hintCrc() || b.getLong(32) != of.id()
            || b.getInt(12) != of.operations()) {
            return null;
        }
        int count = b.getInt(12), end = bytes.length - 4;
        b.position(HEAD);
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            if (end - b.position() < ENTRY) {
                return null;
            }
            byte kind = b.get();
            b.position(b.position() + 3);
            int keyLength = b.getInt(), offset = b.getInt(), length = b.getInt();
            long sequence = b.getLong(), expires = b.getLong();
            if (keyLength < 2 || keyLength > end - b.position()) {
                return null;
            }
            byte[] key = new byte[keyLength];
            b.get(key);
            entries.add(new Entry(kind, key, new Index.Place((int) of.id(), offset, length, sequence, expires)));
        }
        return b.position() == end ? entries : null;
    }

    static int crcOf(byte[] hint) {
        return ByteBuffer.wrap(hint).getInt(hint.length - 4);
    }
}
