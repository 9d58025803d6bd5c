package kelphollow.protocol.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates packets by HMAC-SHA256 (RFC 2104) with the fleet's key over name, epoch, incarnation id, counter and
 * payload, and over the other side's challenge in an exchange. The key is shared, so any member can impersonate any other:
 * it keeps out non-members, not a malicious member. Not thread-safe.
 */
final class Seal {
    /** Minimum length of the key. */
    static final int MIN_KEY_BYTES = 16;
    static final byte[] NO_CHALLENGE = new byte[0];
    static final int MAC_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    /**
     * The authenticated content of a packet.
     *
     * @param incarnationId distinguishes processes of the same name and epoch
     * @param counter increases with each packet of a process
     */
    record Envelope(String name, long epoch, String incarnationId, long counter, byte[] payload) {}

    private final Mac mac;

    /** Creates a seal; throws {@link IllegalArgumentException} if the key is shorter than {@link #MIN_KEY_BYTES}. */
    Seal(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException("fleet key has " + key.length + " bytes, at least " + MIN_KEY_BYTES
                + " are required");
        }
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is not available", e);
        }
    }

    byte[] seal(Envelope envelope, byte[] challenge) {
        byte[] body = Cbor.write(out -> {
            out.writeStartArray();
            out.writeString(envelope.name);
            out.writeNumber(envelope.epoch);
            out.writeString(envelope.incarnationId);
            out.writeNumber(envelope.counter);
            out.writeBinary(envelope.payload);
            out.writeEndArray();
        });
        byte[] sealed = Arrays.copyOf(body, body.length + MAC_BYTES);
        System.arraycopy(computeMac(challenge, body, body.length), 0, sealed, body.length, MAC_BYTES);
        return sealed;
    }

    private byte[] computeMac(byte[] challenge, byte[] bytes, int length) {
        mac.update((byte) challenge.length);
        mac.update(challenge);
        mac.update(bytes, 0, length);
        return mac.doFinal();
    }

    /** Verifies and parses a packet; returns null if it is not authentic or malformed. Verifies before it parses. */
    Envelope open(byte[] sealed, byte[] challenge) {
        int length = sealed.length - MAC_BYTES;
        if (length <= 0 || !MessageDigest.isEqual(computeMac(challenge, sealed, length),
            Arrays.copyOfRange(sealed, length, sealed.length))) {
            return null;
        }
        try {
            List<?> fields = Cbor.list(Cbor.read(sealed, length));
            if (Cbor.at(fields, 4) instanceof byte[] payload) {
                return new Envelope(Cbor.text(fields, 0), Cbor.integer(fields, 1), Cbor.text(fields, 2), Cbor.integer(fields,
                    3),
                    payload);
            }
            return null;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns the authentication code of a sealed packet; it is the challenge of the response to that packet. */
    static byte[] macOf(byte[] sealed) {
        return Arrays.copyOfRange(sealed, Math.max(0, sealed.length - MAC_BYTES), sealed.length);
    }

    /** Returns the key in a key file: its content without surrounding white space. */
    static byte[] key(byte[] fileContent) {
        return new String(fileContent, StandardCharsets.ISO_8859_1).strip().getBytes(StandardCharsets.ISO_8859_1);
    }
}
