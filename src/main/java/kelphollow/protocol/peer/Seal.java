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
 * Authenticates packets: HMAC-SHA256 (RFC 2104) under the fleet's key over name, epoch, incarnation id, counter and
 * payload, and over the challenge of the other side where there is one. For one thread. The key is shared, so any
 * member could speak for any other: it keeps strangers out, not a malicious member.
 */
final class Seal {
    /** Shortest key, in bytes. */
    static final int MIN_KEY_BYTES = 16;
    static final byte[] NO_CHALLENGE = new byte[0];
    static final int MAC_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";

    /**
     * What is sealed.
     *
     * @param incarnationId tells two processes of one name and epoch apart
     * @param counter higher with each packet of a process
     */
    record Envelope(String name, long epoch, String incarnationId, long counter, byte[] payload) {}

    private final Mac mac;

    /** Throws {@link IllegalArgumentException} for a key that is too short. */
    Seal(byte[] key) {
        if (key.length < MIN_KEY_BYTES) {
            throw new IllegalArgumentException("a key has at least " + MIN_KEY_BYTES + " bytes");
        }
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
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
        System.arraycopy(authenticationCode(challenge, body, body.length), 0, sealed, body.length, MAC_BYTES);
        return sealed;
    }

    private byte[] authenticationCode(byte[] challenge, byte[] bytes, int length) {
        mac.update((byte) challenge.length);
        mac.update(challenge);
        mac.update(bytes, 0, length);
        return mac.doFinal();
    }

    /** Returns null for what is not authentic; nothing of it is parsed before that. */
    Envelope open(byte[] sealed, byte[] challenge) {
        int length = sealed.length - MAC_BYTES;
        if (length <= 0 || !MessageDigest.isEqual(authenticationCode(challenge, sealed, length),
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

    /** The last bytes of a sealed packet, which an answer must cover so that it answers this very packet. */
    static byte[] codeOf(byte[] sealed) {
        return Arrays.copyOfRange(sealed, Math.max(0, sealed.length - MAC_BYTES), sealed.length);
    }

    /** The key in a file: all its bytes but surrounding white space. */
    static byte[] key(byte[] file) {
        return new String(file, StandardCharsets.ISO_8859_1).strip().getBytes(StandardCharsets.ISO_8859_1);
    }
}
