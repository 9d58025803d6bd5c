package kelphollow.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Merges the two copies of a segment into one image. Both copies hold the same bytes at the same offsets, so each frame
 * header and each payload is taken from the copy in which its checksum is valid. Bytes that are valid in neither copy are
 * damage, unless they can only be an incomplete end that was never acknowledged as synced: no commit marker in either copy
 * says so. The image is truncated there. No I/O; immutable after construction. Computes one checksum over bytes
 * that are equal in both copies, two over others.
 */
final class SegmentMerge {
    /** One frame of the merged image. */
    record Frame(int at, byte type, byte flags, long sequence, int length) {
        int payloadAt() {
            return at + Format.FRAME_HEADER_BYTES;
        }

        int end() {
            return payloadAt() + length;
        }
    }

    /** A range damaged in both copies; {@code sequence} is that of the lost record, or the lowest that it can have. */
    record Damage(int at, int end, long sequence) {}

    private final byte[] first;
    private final byte[] second;
    private final long segment;
    private final boolean copiesAreEqual;
    private final boolean isSealed;
    private final int length;
    private byte[] image;
    private final List<Frame> frames = new ArrayList<>();
    private final List<Damage> damages = new ArrayList<>();
    private long lastSequence;
    private long syncedUpTo;
    private long time;
    private boolean clean;
    private int truncatedBytes;

    /**
     * @param first the bytes of the first copy, empty if there are none; not changed
     * @param second the bytes of the second copy, likewise
     */
    SegmentMerge(byte[] first, byte[] second, StoreId store, Manifest.Entry entry) {
        this.first = first;
        this.second = second;
        this.segment = entry.id();
        this.copiesAreEqual = Arrays.equals(first, second);
        this.isSealed = entry.isSealed();
        this.length = isSealed ? (int) entry.length() : Math.max(first.length, second.length);
        this.lastSequence = entry.firstSequence() - 1;
        this.syncedUpTo = lastSequence;
        // All fields of the header are also in the manifest, so it can always be rebuilt.
        byte[] header = Format.segmentHeader(store, segment, entry.firstSequence());
        boolean firstIsImage = copiesAreEqual && startsWith(first, header) && first.length >= length;
        image = firstIsImage ? first : mergeBase(header);
        readFrames();
    }

    private static boolean startsWith(byte[] bytes, byte[] header) {
        return bytes.length >= header.length && Arrays.equals(bytes, 0, header.length, header, 0, header.length);
    }

    private byte[] mergeBase(byte[] header) {
        byte[] longer = first.length >= second.length ? first : second;
        byte[] base = Arrays.copyOf(longer, Math.max(length, header.length));
        System.arraycopy(header, 0, base, 0, header.length);
        return base;
    }

    private void readFrames() {
        int at = Format.SEGMENT_HEADER_BYTES;
        while (at < length) {
            Frame frame = frameAt(at);
            if (frame == null && !isSealed && !isSyncedBeyond(at)) {
                truncatedBytes = length - at;
                break;
            }
            if (frame == null) {
                frame = nextFrame(at);
                damages.add(new Damage(at, frame == null ? length : frame.at, lastSequence + 1));
            }
            if (frame == null) {
                at = length;
            } else {
                add(frame);
                at = frame.end();
            }
        }
        if (image.length != at) {
            image = Arrays.copyOf(image, at);
        }
    }

    private void add(Frame frame) {
        frames.add(frame);
        if (frame.type == Format.BATCH) {
            lastSequence = frame.sequence;
        }
        if (frame.type == Format.COMMIT_MARKER) {
            syncedUpTo = Math.max(syncedUpTo, frame.sequence);
            time = Math.max(time, Format.int64(image, frame.payloadAt()));
        }
        clean = frame.type == Format.COMMIT_MARKER && frame.flags == Format.CLEAN;
    }

    /** Copies the frame at this offset into the image; null if its header or its payload is intact in neither copy. */
    private Frame frameAt(int at) {
        byte[] copy = copyWithHeader(at);
        if (copy == null) {
            return null;
        }
        Frame frame = Format.frame(copy, at);
        if (frame.length < 0 || frame.length > length - frame.payloadAt()
            || frame.type == Format.BATCH && frame.sequence <= lastSequence
            || frame.type == Format.COMMIT_MARKER && frame.length != Format.COMMIT_MARKER_PAYLOAD_BYTES) {
            return null;
        }
        byte[] payload = copyWithPayload(frame, Format.payloadCrc(copy, at));
        if (payload == null) {
            return null;
        }
        if (image != first) {
            System.arraycopy(copy, at, image, at, Format.FRAME_HEADER_BYTES);
            System.arraycopy(payload, frame.payloadAt(), image, frame.payloadAt(), frame.length);
        }
        return frame;
    }

    private byte[] copyWithHeader(int at) {
        if (Format.isFrameHeader(first, at, Math.min(length, first.length), segment)) {
            return first;
        }
        return !copiesAreEqual && Format.isFrameHeader(second, at, Math.min(length, second.length), segment) ? second : null;
    }

    private byte[] copyWithPayload(Frame frame, int crc) {
        if (Format.isPayloadValid(first, frame.payloadAt(), first.length, frame.length, crc)) {
            return first;
        }
        return !copiesAreEqual && Format.isPayloadValid(second, frame.payloadAt(), second.length, frame.length, crc) ? second
            : null;
    }

    /** Whether a commit marker after this offset records that the record expected here was synced. */
    private boolean isSyncedBeyond(int at) {
        if (syncedUpTo > lastSequence) {
            return true;
        }
        for (Frame frame = nextFrame(at); frame != null; frame = nextFrame(frame.at + 1)) {
            if (frame.type == Format.COMMIT_MARKER && frame.sequence > lastSequence) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds the next intact frame after a damaged offset. The header's checksum covers the frame's offset, so other data is
     * never mistaken for a frame.
     */
    private Frame nextFrame(int at) {
        for (int i = at + 1; i + Format.FRAME_HEADER_BYTES <= length; i++) {
            Frame frame = frameAt(i);
            if (frame != null) {
                return frame;
            }
        }
        return null;
    }

    /** The content that both copies of the segment should have. */
    byte[] image() {
        return image;
    }

    List<Frame> frames() {
        return frames;
    }

    /** The ranges that were synced but are intact in neither copy. */
    List<Damage> damages() {
        return damages;
    }

    /** Number of bytes at the end that were never acknowledged as synced and are left out of the image. */
    int truncatedBytes() {
        return truncatedBytes;
    }

    /** Whether the last frame is a {@link Format#CLEAN} marker: the store was closed or recovered after it. */
    boolean isClean() {
        return clean;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** The latest time in a commit marker, in Unix milliseconds; 0 if there is none. */
    long time() {
        return time;
    }

    boolean isFirstIntact() {
        return Arrays.equals(first, image);
    }

    boolean isSecondIntact() {
        return copiesAreEqual ? isFirstIntact() : Arrays.equals(second, image);
    }

    /** Visits all operations in order. Skips the rest of a frame after an operation that cannot be decoded. */
    void forEachOperation(Consumer<Operation> consumer) {
        frames.forEach(frame -> forEachOperation(frame, consumer));
    }

    List<Operation> operations() {
        List<Operation> operations = new ArrayList<>();
        forEachOperation(operations::add);
        return operations;
    }

    List<Operation> operations(Frame frame) {
        List<Operation> operations = new ArrayList<>();
        forEachOperation(frame, operations::add);
        return operations;
    }

    private void forEachOperation(Frame frame, Consumer<Operation> consumer) {
        if (frame.type == Format.COMMIT_MARKER) {
            return;
        }
        int at = frame.payloadAt();
        while (at < frame.end()) {
            Operation operation = Operation.read(image, at, frame.end());
            if (operation == null) {
                return;
            }
            consumer.accept(operation);
            at += operation.length();
        }
    }
}
