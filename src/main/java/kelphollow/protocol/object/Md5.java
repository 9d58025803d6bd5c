package kelphollow.protocol.object;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** An incremental MD5 digest; S3 uses it as the entity tag of a part. */
final class Md5 {
    private final MessageDigest digest;

    Md5() {
        try {
            digest = MessageDigest.getInstance("MD5");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java platform must support MD5
        }
    }

    Md5 update(ByteBuffer bytes) {
        digest.update(bytes);
        return this;
    }

    /** Ends the digest and returns it in hexadecimal; it cannot be updated afterwards. */
    String hex() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
