package kelphollow.protocol.object;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** An MD5 digest as it grows, which S3 gives as the entity tag of a part. */
final class Md5 {
    private final MessageDigest digest;

    Md5() {
        try {
            digest = MessageDigest.getInstance("MD5");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java has it
        }
    }

    Md5 update(ByteBuffer bytes) {
        digest.update(bytes);
        return this;
    }

    /** The digest in hexadecimal; nothing may be added after it. */
    String hex() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
