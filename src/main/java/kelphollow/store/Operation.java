package kelphollow.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * One change of one key as it is encoded in a segment; a view of {@code bytes}, which must not be modified. Its encoding:
 * checksum of the rest (4 bytes), kind (1), zeros (3), key length (4), value length (4), sequence (8), expiry (8), key,
 * value.
 *
 * @param kind {@link #PUT} or {@link #TOMBSTONE}
 * @param at offset of the operation in {@code bytes}
 * @param keyLength length of the key, including the two bytes of the table's number
 * @param sequence sequence of its batch
 * @param expiresAt Unix milliseconds, 0 for never
 */
record Operation(byte kind, byte[] bytes, int at, int keyLength, int valueLength, long sequence, long expiresAt) {
    /** Sets the value of a key. */
    static final byte PUT = 1;
    /** Removes a key. */
    static final byte TOMBSTONE = 2;
    /** Length of the fields before the key. */
    static final int HEADER_BYTES = 32;
    /** Maximum length of a caller's key. */
    static final int MAX_KEY_BYTES = 0xffff;

    private static final int KIND_AT = 4;
    private static final int KEY_LENGTH_AT = 8;
    private static final int VALUE_LENGTH_AT = 12;
    private static final int SEQUENCE_AT = 16;
    private static final int EXPIRY_AT = 24;
    private static final int TABLE_BYTES = 2;
    /** The checksum comes first and covers the rest of the operation. */
    private static final int CHECKSUM_BYTES = 4;

    static int lengthOf(int keyLength, int valueLength) {
        return HEADER_BYTES + keyLength + valueLength;
    }

    /**
     * Decodes the operation at this offset; null if its header is invalid or it does not fit before {@code end}. Does not
     * verify the checksum.
     */
    static Operation read(byte[] bytes, int at, int end) {
        if (end - at < HEADER_BYTES) {
            return null;
        }
        int key = Format.int32(bytes, at + KEY_LENGTH_AT);
        int value = Format.int32(bytes, at + VALUE_LENGTH_AT);
        byte kind = bytes[at + KIND_AT];
        if (key < TABLE_BYTES || key > MAX_KEY_BYTES + TABLE_BYTES || value < 0
            || (long) HEADER_BYTES + key + value > end - at || kind != PUT && kind != TOMBSTONE) {
            return null;
        }
        return new Operation(kind, bytes, at, key, value, Format.int64(bytes, at + SEQUENCE_AT),
            Format.int64(bytes, at + EXPIRY_AT));
    }

    /** Encodes an operation at the buffer's position; {@code key} begins with the two bytes of its table's number. */
    static void write(ByteBuffer buffer, byte kind, byte[] key, byte[] value, long sequence, long expiresAt) {
        int at = buffer.position();
        buffer.putInt(0).put(kind).put((byte) 0).putShort((short) 0).putInt(key.length).putInt(value.length);
        buffer.putLong(sequence).putLong(expiresAt).put(key).put(value);
        CRC32C crc = new CRC32C();
        ByteBuffer covered = buffer.duplicate();
        covered.limit(buffer.position()).position(at + CHECKSUM_BYTES);
        crc.update(covered);
        buffer.putInt(at, (int) crc.getValue());
    }

    boolean isChecksumValid() {
        return Format.int32(bytes, at) == Format.crc(bytes, at + CHECKSUM_BYTES, length() - CHECKSUM_BYTES);
    }

    int keyAt() {
        return at + HEADER_BYTES;
    }

    int length() {
        return lengthOf(keyLength, valueLength);
    }

    byte[] key() {
        return Arrays.copyOfRange(bytes, keyAt(), keyAt() + keyLength);
    }

    byte[] value() {
        return Arrays.copyOfRange(bytes, keyAt() + keyLength, at + length());
    }
}
