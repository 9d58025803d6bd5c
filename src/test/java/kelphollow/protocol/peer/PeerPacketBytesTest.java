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
 * The bytes of the line between instances are those that an earlier program wrote. Guards a fleet in which two releases
 * run side by side against changes that the writer and the reader of one program share.
 */
class PeerPacketBytesTest {
    /** A packet a line: its name and its bytes in hexadecimal digits. */
    private static final Path RECORDED = Path.of("src/test/resources/peer/packets.txt");
    private static final HexFormat HEX = HexFormat.of();

    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] CHALLENGE = {0, 1, 2, 3, -1, -2, -3, -4, 127, -128, 10, 13, 26, 32, 64, 99};
    private static final String SENDER = "gateway-1";
    private static final String LIFE = "00112233445566ff";
    private static final long EPOCH = 70_000;
    private static final long COUNTER = 300;
    private static final int HASHES = 64;
    /** Values at which the encoding of a whole number grows by bytes. */
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

    private static final InstanceState SILENT_ONLY =
        new InstanceState("gateway-2", 7, 12, 12.5, Map.of("silent", Map.of("node-1", 3.0, "node-22", 0.0)));
    private static final InstanceState EVERY_SUBJECT = new InstanceState("gäteway-5", 300, 70_000, 0,
        Map.of("drain", Map.of("node-7", 1_700_000_000_000.5, "node-8", 0.0), "silent", Map.of("node-9", 41.0), "refused",
            Map.of("0", 0.25, "13", 800.0)));
    private static final InstanceState EMPTY = new InstanceState("gateway-9", 0, 0, 3_600_000, Map.of());
    private static final List<InstanceState> PARTS = List.of(SILENT_ONLY, EVERY_SUBJECT, EMPTY);

    @Test void eachPacketIsWrittenAsRecorded() throws Exception {
        Map<String, String> recorded = recorded();

        assertEquals(recorded, packetsInHex());
    }

    @Test void eachRecordedPacketIsReadAsItWasMeant() throws Exception {
        Map<String, String> recorded = recorded();

        for (Map.Entry<String, Packet> packet : packets().entrySet()) {
            Packet read = PeerCodec.read(HEX.parseHex(recorded.get(packet.getKey())));

            assertEquals(packet.getValue(), read, packet.getKey());
        }
    }

    @Test void eachRecordedPacketIsWrittenAgainByteForByte() throws Exception {
        Map<String, String> recorded = recorded();

        for (String name : packets().keySet()) {
            Packet read = PeerCodec.read(HEX.parseHex(recorded.get(name)));

            assertEquals(recorded.get(name), HEX.formatHex(PeerCodec.write(read)), name);
        }
    }

    @Test void eachRecordedSealOpensToWhatWasSealed() throws Exception {
        Map<String, String> recorded = recorded();
        Seal seal = new Seal(KEY);

        for (Map.Entry<String, byte[]> challenge : challenges().entrySet()) {
            byte[] sealedBytes = HEX.parseHex(recorded.get(challenge.getKey()));
            Seal.Sealed opened = seal.open(sealedBytes, challenge.getValue());

            assertEquals(SENDER, opened.name(), challenge.getKey());
            assertEquals(EPOCH, opened.epoch(), challenge.getKey());
            assertEquals(LIFE, opened.life(), challenge.getKey());
            assertEquals(COUNTER, opened.counter(), challenge.getKey());
            assertEquals(sealedPacket(), PeerCodec.read(opened.payload()), challenge.getKey());
            assertEquals(recorded.get(challenge.getKey()), HEX.formatHex(seal.seal(opened, challenge.getValue())));
        }
    }

    @Test void aRecordedSealDoesNotOpenOverAnotherChallenge() throws Exception {
        byte[] overChallenge = HEX.parseHex(recorded().get("sealed-over-challenge"));

        assertNull(new Seal(KEY).open(overChallenge, Seal.NO_CHALLENGE));
    }

    /** The life is drawn at random: it is replaced by the recorded one before the bytes are compared. */
    @Test void aDatagramIsSealedAsRecordedButForTheLife() throws Exception {
        PacketSealer sealer = new PacketSealer(SENDER, () -> EPOCH, KEY);
        for (long i = 1; i < COUNTER; i++) {
            sealer.datagram(sealedPacket());
        }
        Seal seal = new Seal(KEY);

        Seal.Sealed opened = seal.open(sealer.datagram(sealedPacket()).bytes(), Seal.NO_CHALLENGE);

        assertEquals(LIFE.length(), opened.life().length());
        Seal.Sealed ofRecordedLife =
            new Seal.Sealed(opened.name(), opened.epoch(), LIFE, opened.counter(), opened.payload());
        assertEquals(recorded().get("sealed"), HEX.formatHex(seal.seal(ofRecordedLife, Seal.NO_CHALLENGE)));
    }

    /** The recording: what this program writes, in the order of {@link #packets}. */
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
            HEX.formatHex(seal.seal(new Seal.Sealed(SENDER, EPOCH, LIFE, COUNTER, payload), challenge))));
        return all;
    }

    private static Map<String, byte[]> challenges() {
        Map<String, byte[]> challenges = new LinkedHashMap<>();
        challenges.put("sealed", Seal.NO_CHALLENGE);
        challenges.put("sealed-over-challenge", CHALLENGE);
        return challenges;
    }

    private static Packet sealedPacket() {
        return small(new Message.Ping(300, "gateway-2", EVERY_STATE));
    }

    private static Map<String, Packet> packets() {
        Map<String, Packet> packets = new LinkedHashMap<>();
        packets.put("ping", sealedPacket());
        packets.put("ping-alone", new Packet.Small(new Message.Ping(0, "gäteway-5", List.of()), List.of()));
        packets.put("ping-request", small(new Message.PingRequest(24, "gateway-3", EVERY_STATE)));
        packets.put("ack", small(new Message.Ack(255, EVERY_STATE)));
        packets.put("nack", small(new Message.Nack(256, EVERY_STATE)));
        packets.put("gossip", small(new Message.Gossip(EVERY_STATE)));
        packets.put("gossip-of-parts", small(new Message.Gossip(List.of())));
        for (long number : WIDTHS) {
            packets.put("ack-" + number, new Packet.Small(new Message.Ack(number, List.of()), List.of()));
        }
        packets.put("exchange", new Packet.Full(EVERY_STATE, PARTS));
        packets.put("exchange-of-nothing", new Packet.Full(List.of(), List.of()));
        packets.put("exchange-of-many", new Packet.Full(manyNews(), List.of(largePart())));
        packets.put("summary", new Packet.Compare(new AntiEntropy.Summary(new Random(1).ints(HASHES).boxed().toList())));
        packets.put("versions", new Packet.Compare(new AntiEntropy.Versions(List.of(0, 23, 24, 63), entries())));
        packets.put("versions-of-nothing", new Packet.Compare(new AntiEntropy.Versions(List.of(5), List.of())));
        packets.put("delta",
            new Packet.Compare(new AntiEntropy.Delta(EVERY_STATE, PARTS, List.of("gateway-2", "gäteway-5"))));
        packets.put("delta-of-names", new Packet.Compare(new AntiEntropy.Delta(List.of(), List.of(), List.of("gateway-2"))));
        return packets;
    }

    private static Packet small(Message message) {
        return new Packet.Small(message, PARTS);
    }

    private static List<MemberUpdate> manyNews() {
        List<MemberUpdate> many = new ArrayList<>();
        for (long width : WIDTHS) {
            many.add(new MemberUpdate("x".repeat(1 + many.size() * 7), "192.0.2.9:7000", width, width,
                MemberUpdate.State.ALIVE, ""));
        }
        return many;
    }

    private static InstanceState largePart() {
        Map<String, Double> nodes = new LinkedHashMap<>();
        for (int i = 0; i < 30; i++) {
            nodes.put("node-" + "0".repeat(i) + i, i / 4.0);
        }
        return new InstanceState("gateway-10", 24, 9_007_199_254_740_991L, 0.125, Map.of("drain", nodes));
    }

    /** The states of members as a comparison carries them, without address and accuser; with a part and without. */
    private static List<AntiEntropy.Entry> entries() {
        List<AntiEntropy.Entry> entries = new ArrayList<>();
        for (MemberUpdate news : EVERY_STATE) {
            MemberUpdate bare = new MemberUpdate(news.name(), "", news.epoch(), news.incarnation(), news.state(), "");
            boolean hasPart = entries.size() % 2 == 0;
            entries.add(new AntiEntropy.Entry(bare, hasPart ? news.epoch() : -1, hasPart ? 70_000 : -1));
        }
        return entries;
    }
}
