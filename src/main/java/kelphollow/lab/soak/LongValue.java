package kelphollow.lab.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A value that is too long to be buffered, and how its node writes it. Requested by the name of an object, {@link #object},
 * so that client and node agree on it.
 *
 * @param length in bytes, above 64 KiB
 * @param pace how the node writes it
 */
record LongValue(int length, Pace pace) {
    /** How a node writes a value. */
    enum Pace {
        /** As fast as it is read. */
        AT_ONCE,
        /** In four pieces with pauses between them. */
        IN_LUMPS,
        /** The length at once, the bytes after a pause. */
        LATE_BODY,
        /** In small pieces at a steady rate. */
        STEADY
    }

    /** Length above which the platform times a value's first bytes only. */
    static final int MIN_LENGTH = 64 * 1024 + 1;
    /** Longest of the values that {@link #draw} draws, so that a steadily written one ends within three seconds. */
    private static final int MAX_DRAWN_LENGTH = 128 * 1024;
    private static final int LUMPS = 4;
    private static final int LUMP_PAUSE_MS = 450;
    private static final int LATE_BODY_MS = 850;
    private static final int STEADY_PIECE_BYTES = 1024;
    private static final int STEADY_PAUSE_MS = 20;
    private static final Pattern OBJECT = Pattern.compile("value-([A-Z_]+)-(\\d+)");
    private static final byte FILLER = 'v';

    static LongValue draw(Random random) {
        Pace pace = Pace.values()[random.nextInt(Pace.values().length)];
        return new LongValue(MIN_LENGTH + random.nextInt(MAX_DRAWN_LENGTH - MIN_LENGTH), pace);
    }

    /** Reads the name of an object; empty if it names no such value. */
    static Optional<LongValue> parse(String object) {
        Matcher name = OBJECT.matcher(object);
        return name.matches() ? Optional.of(new LongValue(Integer.parseInt(name.group(2)), Pace.valueOf(name.group(1))))
            : Optional.empty();
    }

    /** The name of the object that has this value. */
    String object() {
        return "value-" + pace + "-" + length;
    }

    /** Writes the node's reply that contains the value; blocks for as long as that takes. */
    void write(OutputStream out) throws IOException, InterruptedException {
        out.write(("*3\r\n$" + length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        switch (pace) {
            case AT_ONCE -> writeBytes(out, length);
            case IN_LUMPS -> writePieces(out, (length + LUMPS - 1) / LUMPS, LUMP_PAUSE_MS);
            case STEADY -> writePieces(out, STEADY_PIECE_BYTES, STEADY_PAUSE_MS);
            case LATE_BODY -> {
                Thread.sleep(LATE_BODY_MS);
                writeBytes(out, length);
            }
        }
        out.write("\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private void writePieces(OutputStream out, int pieceLength, int pauseMs) throws IOException, InterruptedException {
        for (int written = 0; written < length; written += pieceLength) {
            if (written > 0) {
                Thread.sleep(pauseMs);
            }
            writeBytes(out, Math.min(pieceLength, length - written));
        }
    }

    private static void writeBytes(OutputStream out, int count) throws IOException {
        byte[] bytes = new byte[count];
        Arrays.fill(bytes, FILLER);
        out.write(bytes);
    }

    /** Whether the bytes are this value. */
    boolean equalsBytes(byte[] bytes) {
        if (bytes.length != length) {
            return false;
        }
        for (byte b : bytes) {
            if (b != FILLER) {
                return false;
            }
        }
        return true;
    }
}
