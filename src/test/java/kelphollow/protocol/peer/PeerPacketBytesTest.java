package kelphollow.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;
import org.junit.jupiter.api.Test;

/**
 * Checks that packets between instances are encoded to the bytes recorded from an earlier release. Two releases run side by
 * side in a fleet, and a test against the current reader alone would miss a change that writer and reader share.
 */
class PeerPacketBytesTest {
    /** One packet per line: its name and its bytes in hexadecimal. */
    private static final Path RECORDED = Path.of("src/test/resources/peer/packets.txt");
    private static final HexFormat HEX = HexFormat.of();

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CHALLENGE = {0, 1, 2, 3, -1, -2, -3, -4, 127, -128, 10, 13, 26, 32, 64, 99};
    private static final String SENDER = "gateway-1";
    private static final String INCARNATION_ID = "00112233445566ff";
    private static final long EPOCH = 70_000;
    private static final long COUNTER = 300;
    private static final int HASHES = 64;
    /** Integers on both sides of the boundaries at which the CBOR encoding grows, and the largest integer supported. */
    private static final long[] WIDTHS = {0, 23, 24, 255, 256, 65_535, 65_536, 4_294_967_295L, 4_294_967_296L,
        9_007_199_254_740_991L};

    private static final MemberUpdate ALIVE = new MemberUpdate("gateway-2", "192.0.2.2:7000", 7, 0, MemberUpdate.State.ALIVE,
        "");
    private static final MemberUpdate SUSPECTED = new MemberUpdate("gateway-3", "192.0.2.3:7000", 300, 2,
        MemberUpdate.State.SUSPECT, "gateway-2");
    private static final MemberUpdate DEAD = new MemberUpdate("gateway-4", "[2001:db8::4]:7000", 70_000, 24,
        MemberUpdate.State.DEAD, SENDER);
    private static final MemberUpdate LEFT = new MemberUpdate("gäteway-5", "", 0, 1_000, MemberUpdate.State.LEFT, "");
    private static final List<MemberUpdate> EVERY_STATE = List.of(ALIVE, SUSPECTED, DEAD, LEFT);

    private static final InstanceState UNRESPONSIVE_ONLY =
        new InstanceState("gateway-2", 7, 12, 12.5, Map.of("silent", Map.of("node-1", 3.0, "node-22", 0.0)));
    private static final InstanceState EVERY_SUBJECT = new InstanceState("gäteway-5", 300, 70_000, 0,
        Map.of("drain", Map.of("node-7", 1_700_000_000_000.5, "node-8", 0.0), "silent", Map.of("node-9", 41.0), "refused",
            Map.of("0", 0.25, "13", 800.0)));
    private static final InstanceState EMPTY = new InstanceState("gateway-9", 0, 0, 3_600_000, Map.of());
    private static final List<InstanceState> STATES = List.of(UNRESPONSIVE_ONLY, EVERY_SUBJECT, EMPTY);

    @Test void packetsAreEncodedAsRecorded() throws Exception {
        Map<String, String> recorded = recorded();

        assertEquals(recorded, packetsInHex());
    }

    @Test void recordedPacketsAreDecoded() throws Exception {
        Map<String, String> recorded = recorded();

        for (Map.Entry<String, Packet> packet : packets().entrySet()) {
            Packet read = PeerCodec.read(HEX.parseHex(recorded.get(packet.getKey())));

            assertEquals(packet.getValue(), read, packet.getKey());
        }
    }

    @Test void recordedPacketsAreReencodedToTheSameBytes() throws Exception {
        Map<String, String> recorded = recorded();

        for (String name : packets().keySet()) {
            Packet read = PeerCodec.read(HEX.parseHex(recorded.get(name)));

            assertEquals(recorded.get(name), HEX.formatHex(PeerCodec.write(read)), name);
        }
    }

    @Test void recordedSealedPacketsAreOpened() throws Exception {
        Map<String, String> recorded = recorded();
        Seal seal = new Seal(KEY);

        for (Map.Entry<String, byte[]> challenge : challenges().entrySet()) {
            byte[] sealedBytes = HEX.parseHex(recorded.get(challenge.getKey()));
            Seal.Envelope opened = seal.open(sealedBytes, challenge.getValue());

            assertEquals(SENDER, opened.name(), challenge.getKey());
            assertEquals(EPOCH, opened.epoch(), challenge.getKey());
            assertEquals(INCARNATION_ID, opened.incarnationId(), challenge.getKey());
            assertEquals(COUNTER, opened.counter(), challenge.getKey());
            assertEquals(sealedPacket(), PeerCodec.read(opened.payload()), challenge.getKey());
            assertEquals(recorded.get(challenge.getKey()), HEX.formatHex(seal.seal(opened, challenge.getValue())));
        }
    }

    @Test void sealedPacketIsRejectedWithAnotherChallenge() throws Exception {
        byte[] overChallenge = HEX.parseHex(recorded().get("sealed-over-challenge"));

        assertNull(new Seal(KEY).open(overChallenge, Seal.NO_CHALLENGE));
    }

    /** The incarnation id is random, so it is replaced by the recorded one before the bytes are compared. */
    @Test void datagramIsSealedAsRecordedExceptForTheIncarnationId() throws Exception {
        PacketSealer sealer = new PacketSealer(SENDER, () -> EPOCH, KEY);
        for (long i = 1; i < COUNTER; i++) {
            sealer.datagram(sealedPacket());
        }
        Seal seal = new Seal(KEY);

        Seal.Envelope opened = seal.open(sealer.datagram(sealedPacket()).bytes(), Seal.NO_CHALLENGE);

        assertEquals(INCARNATION_ID.length(), opened.incarnationId().length());
        Seal.Envelope withRecordedId =
            new Seal.Envelope(opened.name(), opened.epoch(), INCARNATION_ID, opened.counter(), opened.payload());
        assertEquals(recorded().get("sealed"), HEX.formatHex(seal.seal(withRecordedId, Seal.NO_CHALLENGE)));
    }

    /** Returns the lines of a new recording, in the order of {@link #packets}. */
    static List<String> lines() {
        List<String> lines = new ArrayList<>();
        packetsInHex().forEach((name, hex) -> lines.add(name + " " + hex));
        return lines;
    }

    private static Map<String, String> recorded() throws IOException {
        Map<String, String> recorded = new LinkedHashMap<>();
        for (String line : Files.readAllLines(RECORDED, StandardCharsets.UTF_8)) {
            String[] nameAndHex = line.split(" ");
            recorded.put(nameAndHex[0], nameAndHex[1]);
        }
        return recorded;
    }

    private static Map<String, String> packetsInHex() {
        Map<String, String> all = new LinkedHashMap<>();
        packets().forEach((name, packet) -> all.put(name, HEX.formatHex(PeerCodec.write(packet))));
        byte[] payload = PeerCodec.write(sealedPacket());
        Seal seal = new Seal(KEY);
        challenges().forEach((name, challenge) -> all.put(name,
            HEX.formatHex(seal.seal(new Seal.Envelope(SENDER, EPOCH, INCARNATION_ID, COUNTER, payload), challenge))));
        return all;
    }

    private static Map<String, byte[]> challenges() {
        Map<String, byte[]> challenges = new LinkedHashMap<>();
        challenges.put("sealed", Seal.NO_CHALLENGE);
        challenges.put("sealed-over-challenge", CHALLENGE);
        return challenges;
    }

    private static Packet sealedPacket() {
        return membership(new Message.Ping(300, "gateway-2", EVERY_STATE));
    }

    private static Map<String, Packet> packets() {
        Map<String, Packet> packets = new LinkedHashMap<>();
        packets.put("ping", sealedPacket());
        packets.put("ping-alone", new Packet.Membership(new Message.Ping(0, "gäteway-5", List.of()), List.of()));
        packets.put("ping-request", membership(new Message.PingRequest(24, "gateway-3", EVERY_STATE)));
        packets.put("ack", membership(new Message.Ack(255, EVERY_STATE)));
        packets.put("nack", membership(new Message.Nack(256, EVERY_STATE)));
        packets.put("gossip", membership(new Message.Gossip(EVERY_STATE)));
        packets.put("gossip-of-parts", membership(new Message.Gossip(List.of())));
        for (long number : WIDTHS) {
            packets.put("ack-" + number, new Packet.Membership(new Message.Ack(number, List.of()), List.of()));
        }
        packets.put("exchange", new Packet.FullExchange(EVERY_STATE, STATES));
        packets.put("exchange-of-nothing", new Packet.FullExchange(List.of(), List.of()));
        packets.put("exchange-of-many", new Packet.FullExchange(manyUpdates(), List.of(largeState())));
        packets.put("summary", new Packet.Comparison(new AntiEntropy.Summary(new Random(1).ints(HASHES).boxed().toList())));
        packets.put("versions", new Packet.Comparison(new AntiEntropy.Versions(List.of(0, 23, 24, 63), entries())));
        packets.put("versions-of-nothing", new Packet.Comparison(new AntiEntropy.Versions(List.of(5), List.of())));
        packets.put("delta",
            new Packet.Comparison(new AntiEntropy.Delta(EVERY_STATE, STATES, List.of("gateway-2", "gäteway-5"))));
        packets.put("delta-of-names", new Packet.Comparison(new AntiEntropy.Delta(List.of(), List.of(), List.of(
            "gateway-2"))));
        return packets;
    }

    private static Packet membership(Message message) {
        return new Packet.Membership(message, STATES);
    }

    private static List<MemberUpdate> manyUpdates() {
        List<MemberUpdate> many = new ArrayList<>();
        for (long width : WIDTHS) {
            many.add(new MemberUpdate("x".repeat(1 + many.size() * 7), "192.0.2.9:7000", width, width,
                MemberUpdate.State.ALIVE, ""));
        }
        return many;
    }

    private static InstanceState largeState() {
        Map<String, Double> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 30; i++) {
            nodes.put("node-" + "0".repeat(i) + i, i / 4.0);
        }
        return new InstanceState("gateway-10", 24, 9_007_199_254_740_991L, 0.125, Map.of("drain", nodes));
    }

    /** Returns entries as in a view comparison: without address and accuser, with and without an instance state. */
    private static List<AntiEntropy.Entry> entries() {
        List<AntiEntropy.Entry> entries = new ArrayList<>();
        for (MemberUpdate update : EVERY_STATE) {
            MemberUpdate bare = new MemberUpdate(update.name(), "", update.epoch(), update.incarnation(), update.state(),
                "");
            boolean hasState = entries.size() % 2 == 0;
            entries.add(new AntiEntropy.Entry(bare, hasState ? update.epoch() : -1, hasState ? 70_000 : -1));
        }
        return entries;
    }
}
