package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares a digest of all files after each step of a fixed workload, in a store with a fixed id. Detects changes of the
 * format, or of the order in which files are written and compacted, that reading the store back does not reveal.
 */
class StoredBytesTest {
    private static final StoreId STORE_ID = new StoreId(0x0123456789abcdefL, 0xfedcba9876543210L);
    private final StoreHarness harness = new StoreHarness();
    private final MessageDigest digest = sha256();

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java platform has SHA-256
        }
    }

    @BeforeEach void createStore() {
        byte[] manifest = new Manifest(STORE_ID, 1, 1, 1, harness.now, List.of()).bytes();
        harness.first.set(Manifest.NAME, manifest);
        harness.second.set(Manifest.NAME, manifest);
    }

    /** Adds all files of both folders to the digest. */
    private void digestFiles() {
        for (MemoryDisk disk : List.of(harness.first, harness.second)) {
            for (String name : disk.names()) {
                digest.update((name + ' ' + disk.bytes(name).length + '\n').getBytes(StandardCharsets.UTF_8));
                digest.update(disk.bytes(name));
            }
        }
    }

    private void runWorkload() throws IOException, StoreFault {
        harness.open();
        digestFiles();
        for (int i = 0; i < 200; i++) {
            Batch batch = new Batch().put("outcomes", StoreHarness.bytes("request" + i % 23),
                StoreHarness.bytes("ran " + "x".repeat(i % 90) + i));
            if (i % 3 == 0) {
                batch.remove("outcomes", StoreHarness.bytes("request" + (i + 5) % 23));
            }
            if (i % 7 == 2) {
                batch.put("parts", StoreHarness.bytes("u#" + i), StoreHarness.bytes("intent"), harness.now + 40);
            }
            assertNull(harness.write(batch, i % 4 == 1 ? Durability.BUFFERED : Durability.SYNCED));
            harness.now += 3;
            if (i % 10 == 9) {
                harness.store.runMaintenance();
            }
            if (i % 50 == 49) {
                harness.store.compactAll();
            }
            if (i % 60 == 30) {
                harness.reopen();
            }
            if (i % 60 == 59) {
                harness.killAndReopen();
            }
            digestFiles();
        }
        harness.store.close();
        digestFiles();
    }

    private String digest() {
        return HexFormat.of().formatHex(digest.digest());
    }

    @Test void theBytesOnDiskAreThoseOfFormatOne() throws Exception {
        runWorkload();
        assertEquals("94640f2a8a04954993057b1812638ac9a30e80df549b841be80a333809842a11", digest());
    }

    @Test void theBytesOnDiskAreThoseOfFormatOneWhenOpeningsReadHints() throws Exception {
        harness.options = StoreHarness.SMALL.withSegmentBytes(2_048).withCheckAll(false);
        runWorkload();
        assertEquals("8f357332c9a0eb0822c916da6ef4ac7661ae5a8c4889ee71612d3c2678e9131f", digest());
    }
}
