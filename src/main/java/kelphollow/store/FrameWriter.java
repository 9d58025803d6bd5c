package kelphollow.store;

import java.nio.ByteBuffer;

/** Encodes consecutive frames into a growing buffer. Reusable after {@link #clear}; confined to one thread. */
final class FrameWriter {
    private ByteBuffer buffer;

    /** Creates a writer with this initial capacity in bytes. */
    FrameWriter(int capacity) {
        buffer = ByteBuffer.allocate(capacity);
    }

    private void ensureRoom(long bytes) {
        if (buffer.remaining() < bytes) {
            long size = Math.max(2L * buffer.capacity(), buffer.position() + bytes);
            ByteBuffer larger = ByteBuffer.allocate((int) Math.min(size, Format.MAX_FILE_BYTES));
            larger.put(buffer.flip());
            buffer = larger;
        }
    }

    void clear() {
        buffer.clear();
    }

    /** Bytes written so far. */
    int length() {
        return buffer.position();
    }

    boolean isEmpty() {
        return buffer.position() == 0;
    }

    /** A view of the encoded bytes; valid until the next change. */
    ByteBuffer bytes() {
        return buffer.duplicate().flip();
    }

    /** Begins a frame and reserves room for a payload of this many bytes; returns the frame's offset in the buffer. */
    int begin(long payloadBytes) {
        ensureRoom(Format.FRAME_HEADER_BYTES + payloadBytes);
        int at = buffer.position();
        buffer.position(at + Format.FRAME_HEADER_BYTES);
        return at;
    }

    /** Adds an operation and returns its offset in the buffer. */
    int operation(byte kind, byte[] key, byte[] value, long sequence, long expiresAt) {
        ensureRoom(Operation.lengthOf(key.length, value.length));
        int at = buffer.position();
        Operation.write(buffer, kind, key, value, sequence, expiresAt);
        return at;
    }

    /** Copies an encoded operation and returns its offset in the buffer. */
    int operation(Operation operation) {
        ensureRoom(operation.length());
        int at = buffer.position();
        buffer.put(operation.bytes(), operation.at(), operation.length());
        return at;
    }

    /** Writes the header of the frame that begins at {@code at} in the buffer, for this offset in the segment. */
    void end(int at, byte type, long sequence, long segment, long offset) {
        Format.writeFrameHeader(buffer, at, type, (byte) 0, sequence, segment, offset);
    }

    /** Adds a commit marker: both copies are synced up to this sequence. */
    void commitMarker(long syncedUpTo, long time, boolean clean, long segment, long offset) {
        int at = begin(Format.COMMIT_MARKER_PAYLOAD_BYTES);
        buffer.putLong(time);
        Format.writeFrameHeader(buffer, at, Format.COMMIT_MARKER, clean ? Format.CLEAN : 0, syncedUpTo, segment, offset);
    }

    /** Copies the payload of a frame from another segment and writes a header for its new segment and offset. */
    void copy(byte[] image, SegmentMerge.Frame frame, long segment, long offset) {
        int at = begin(frame.length());
        buffer.put(image, frame.payloadAt(), frame.length());
        Format.writeFrameHeader(buffer, at, frame.type(), frame.flags(), frame.sequence(), segment, offset);
    }
}
