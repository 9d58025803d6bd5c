package kelphollow.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.zip.CRC32C;

/**
 * Encoding of file names, headers and frames, as specified in {@code docs/design/STORE.md}; {@link Operation} encodes
 * operations. All numbers are big-endian and all checksums are CRC32C. The checksum of a frame header also covers the
 * segment's id and the frame's offset, so a frame is valid only at its own position: neither a stale disk block nor a value
 * that looks like a frame is read as one. Stateless.
 */
final class Format {
    static final int VERSION = 1;
    /** Maximum length of a file, so that offsets fit into an {@code int}. */
    static final long MAX_FILE_BYTES = Integer.MAX_VALUE - 64;
    static final byte[] SEGMENT_MAGIC = magic("KHSEG");
    static final byte[] MANIFEST_MAGIC = magic("KHMAN");
    static final byte[] HINT_MAGIC = magic("KHHNT");
    static final String SEGMENT_SUFFIX = ".seg";
    static final String HINT_SUFFIX = ".hint";
    static final int SEGMENT_HEADER_BYTES = 64;
    static final int FRAME_HEADER_BYTES = 24;
    /** Frame type: a caller's batch. */
    static final byte BATCH = 1;
    /** Frame type: operations copied by compaction. */
    static final byte MOVED = 2;
    /** Frame type: records the sequence up to which both copies are synced. */
    static final byte COMMIT_MARKER = 3;
    /** Flag of a commit marker: the store was closed or recovered at this point. */
    static final byte CLEAN = 1;
    static final int COMMIT_MARKER_PAYLOAD_BYTES = 8;

    /** Offsets of the segment's id and first sequence in its header. */
    static final int SEGMENT_ID_AT = 32;
    static final int FIRST_SEQUENCE_AT = 40;
    private static final int VERSION_AT = 8;
    private static final int STORE_HIGH_AT = 16;
    private static final int STORE_LOW_AT = 24;
    private static final int CHECKSUM_BYTES = 4;
    private static final int ID_DIGITS = 12;

    private static final int FRAME_TYPE_AT = 4;
    private static final int FRAME_FLAGS_AT = 5;
    private static final int FRAME_RESERVED_AT = 6;
    private static final int FRAME_SEQUENCE_AT = 8;
    private static final int FRAME_PAYLOAD_CRC_AT = 16;
    private static final int FRAME_HEADER_CRC_AT = 20;

    private Format() {}

    private static byte[] magic(String name) {
        return (name + "\r\n\032").getBytes(StandardCharsets.US_ASCII);
    }

    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    // ---------------------------------------------------------------- names

    static String segmentName(long id) {
        return String.format(Locale.ROOT, "%012d" + SEGMENT_SUFFIX, id);
    }

    static String hintName(long id) {
        return String.format(Locale.ROOT, "%012d" + HINT_SUFFIX, id);
    }

    /** The segment id in a name made by {@link #segmentName} or {@link #hintName}, or -1 for any other name. */
    static long idOf(String name) {
        int dot = name.indexOf('.');
        if (dot != ID_DIGITS || !(name.endsWith(SEGMENT_SUFFIX) || name.endsWith(HINT_SUFFIX))) {
            return -1;
        }
        for (int i = 0; i < dot; i++) {
            if (name.charAt(i) < '0' || name.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(name.substring(0, dot));
    }

    // ---------------------------------------------------------------- headers

    static byte[] segmentHeader(StoreId store, long id, long firstSequence) {
        ByteBuffer header = ByteBuffer.allocate(SEGMENT_HEADER_BYTES);
        header.put(SEGMENT_MAGIC).putInt(VERSION).putInt(0).putLong(store.high()).putLong(store.low());
        header.putLong(id).putLong(firstSequence).putLong(0).putInt(0);
        header.putInt(crc(header.array(), 0, SEGMENT_HEADER_BYTES - CHECKSUM_BYTES));
        return header.array();
    }

    /** Result of checking the header of a file. */
    enum HeaderState {
        /** Intact and of this store. */
        VALID,
        /** Not intact; the store that it belongs to is unknown. */
        DAMAGED,
        /** Intact, but of another store. */
        FOREIGN,
        /** Intact, but of a version that this program does not support. */
        OTHER_VERSION
    }

    /**
     * Checks the header fields that all files have: magic, version, store id and checksum.
     *
     * @param store expected store, or null to accept any
     * @param checkedLength length of the checked bytes, which end with their checksum
     */
    static HeaderState headerState(byte[] bytes, byte[] magic, StoreId store, int checkedLength) {
        if (bytes.length < checkedLength) {
            return HeaderState.DAMAGED;
        }
        int covered = checkedLength - CHECKSUM_BYTES;
        boolean valid = int32(bytes, covered) == crc(bytes, 0, covered);
        boolean hasMagic = Arrays.equals(bytes, 0, magic.length, magic, 0, magic.length);
        if (hasMagic && valid && int32(bytes, VERSION_AT) != VERSION) {
            return HeaderState.OTHER_VERSION;
        }
        if (!hasMagic || !valid) {
            return HeaderState.DAMAGED;
        }
        return store != null && !store.equals(storeOf(bytes)) ? HeaderState.FOREIGN : HeaderState.VALID;
    }

    /** The id of the store that an intact segment or hint file belongs to. */
    static StoreId storeOf(byte[] bytes) {
        return new StoreId(int64(bytes, STORE_HIGH_AT), int64(bytes, STORE_LOW_AT));
    }

    // ---------------------------------------------------------------- frames

    /** Writes the header of a frame at {@code at}; its payload must end at the buffer's position. */
    static void writeFrameHeader(ByteBuffer buffer, int at, byte type, byte flags, long sequence, long segment,
        long offset) {
        int length = buffer.position() - at - FRAME_HEADER_BYTES;
        buffer.putInt(at, length).put(at + FRAME_TYPE_AT, type).put(at + FRAME_FLAGS_AT, flags)
            .putShort(at + FRAME_RESERVED_AT, (short) 0).putLong(at + FRAME_SEQUENCE_AT, sequence);
        CRC32C crc = new CRC32C();
        ByteBuffer payload = buffer.duplicate();
        payload.limit(buffer.position()).position(at + FRAME_HEADER_BYTES);
        crc.update(payload);
        buffer.putInt(at + FRAME_PAYLOAD_CRC_AT, (int) crc.getValue());
        byte[] header = new byte[FRAME_HEADER_CRC_AT];
        buffer.get(at, header);
        buffer.putInt(at + FRAME_HEADER_CRC_AT, headerCrc(header, 0, segment, offset));
    }

    private static int headerCrc(byte[] bytes, int at, long segment, long offset) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, at, FRAME_HEADER_CRC_AT);
        for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            crc.update((int) (segment >>> shift) & 0xff);
        }
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            crc.update((int) (offset >>> shift) & 0xff);
        }
        return (int) crc.getValue();
    }

    /** Whether an intact header of a frame of this segment is at {@code at}; the frame may still end beyond {@code end}. */
    static boolean isFrameHeader(byte[] bytes, int at, int end, long segment) {
        if (at < 0 || end - at < FRAME_HEADER_BYTES || bytes[at + FRAME_TYPE_AT] < BATCH
            || bytes[at + FRAME_TYPE_AT] > COMMIT_MARKER || int16(bytes, at + FRAME_RESERVED_AT) != 0) {
            return false;
        }
        return int32(bytes, at + FRAME_HEADER_CRC_AT) == headerCrc(bytes, at, segment, at);
    }

    /** Decodes the intact frame header at {@code at}. */
    static SegmentMerge.Frame frame(byte[] bytes, int at) {
        return new SegmentMerge.Frame(at, bytes[at + FRAME_TYPE_AT], bytes[at + FRAME_FLAGS_AT],
            int64(bytes, at + FRAME_SEQUENCE_AT), int32(bytes, at));
    }

    /** The payload checksum in the frame header at {@code frameAt}. */
    static int payloadCrc(byte[] bytes, int frameAt) {
        return int32(bytes, frameAt + FRAME_PAYLOAD_CRC_AT);
    }

    static boolean isPayloadValid(byte[] bytes, int at, int end, int length, int crc) {
        return length >= 0 && end - at >= length && crc(bytes, at, length) == crc;
    }

    // ---------------------------------------------------------------- numbers

    static int int16(byte[] bytes, int at) {
        return (bytes[at] & 0xff) << 8 | bytes[at + 1] & 0xff;
    }

    static int int32(byte[] bytes, int at) {
        return (bytes[at] & 0xff) << 24 | (bytes[at + 1] & 0xff) << 16 | (bytes[at + 2] & 0xff) << 8 | bytes[at + 3] & 0xff;
    }

    static long int64(byte[] bytes, int at) {
        return (long) int32(bytes, at) << 32 | int32(bytes, at + 4) & 0xffffffffL;
    }

    /** The first eight bytes of a range as a big-endian number, padded with zeros on the right. */
    static long prefix(byte[] bytes, int from, int to) {
        if (to - from >= Long.BYTES) {
            return int64(bytes, from);
        }
        long prefix = 0;
        for (int i = from; i < from + Long.BYTES; i++) {
            prefix = prefix << Byte.SIZE | (i < to ? bytes[i] & 0xff : 0);
        }
        return prefix;
    }
}
