package kelphollow.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks over real sockets that authentic packets are received once and all others are dropped. */
@Timeout(30)
class SocketPeerTransportTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final MemberUpdate UPDATE = new MemberUpdate("x", "127.0.0.1:1", 7, 2, MemberUpdate.State.SUSPECT, "y");
    private static final InstanceState STATE = new InstanceState("a", 3, 4, 12.5, Map.of("drain", Map.of("n1", 5.0),
        "silent",
        Map.of("n2", 1.0)));

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<SocketPeerTransport> transports = new ArrayList<>();

    @AfterEach void end() {
        transports.forEach(SocketPeerTransport::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** An instance that records the packets it receives as text. */
    private final class Instance implements PeerListener {
        final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        final SocketPeerTransport transport;
        final InetSocketAddress at;

        Instance(String name, long epoch, byte[] key) throws Exception {
            transport = new SocketPeerTransport(group.next(), name, () -> epoch, key, 8, this);
            transports.add(transport);
            at = transport.listen(new InetSocketAddress("127.0.0.1", 0));
        }

        @Override public void membershipReceived(String from, Packet.Membership packet) {
            received.add(from + " " + packet);
        }

        @Override public void comparisonReceived(String from, Packet.Comparison packet) {
            received.add(from + " compares " + packet.message());
        }

        @Override public Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs) {
            received.add(from + " asks " + theirs);
            return new Packet.FullExchange(List.of(), List.of(STATE));
        }

        @Override public void exchangeAnswered(String from, Packet.FullExchange theirs) {
            received.add(from + " answers " + theirs);
        }

        void send(InetSocketAddress to, Message message) {
            group.next().submit(() -> transport.send(to, new Packet.Membership(message, List.of(STATE))))
                .syncUninterruptibly();
        }

        String next() throws InterruptedException {
            return received.poll(10, TimeUnit.SECONDS);
        }

        /** Waits until this many packets were dropped for the reason; counts are updated before the next packet is read. */
        void awaitDrops(DropReason reason, long count) throws Exception {
            for (int i = 0; i < 1_000; i++) {
                if (group.next().submit(() -> transport.drops().getOrDefault(reason, 0L)).get() >= count) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
            fail("fewer than " + count + " packets dropped as " + reason);
        }
    }

    @Test void everyPacketKindIsReceivedAsSent() throws Exception {
        Instance a = new Instance("a", 3, KEY);
        Instance b = new Instance("b", 1, KEY);
        for (Message m : List.of(new Message.Ping(5, "b", List.of(UPDATE)), new Message.PingRequest(6, "c", List.of()),
            new Message.Ack(7, List.of(UPDATE)), new Message.Nack(8, List.of()), new Message.Gossip(List.of(UPDATE)))) {
            a.send(b.at, m);
            assertEquals("a " + new Packet.Membership(m, List.of(STATE)), b.next());
        }
        AntiEntropy.Entry withState = new AntiEntropy.Entry(new MemberUpdate("x", "", 7, 2, MemberUpdate.State.ALIVE, ""), 7,
            9);
        AntiEntropy.Entry withoutState = new AntiEntropy.Entry(new MemberUpdate("y", "", 1, 0, MemberUpdate.State.LEFT, ""),
            -1, -1);
        List<Integer> hashes = new Random(1).ints(64).boxed().toList();
        for (AntiEntropy m : List.of(new AntiEntropy.Summary(hashes),
            new AntiEntropy.Versions(List.of(0, 63), List.of(withState, withoutState)),
            new AntiEntropy.Delta(List.of(UPDATE), List.of(STATE), List.of("x", "y")))) {
            group.next().submit(() -> a.transport.send(b.at, new Packet.Comparison(m))).syncUninterruptibly();
            assertEquals("a compares " + m, b.next());
        }
        group.next().submit(() -> a.transport.exchange("b", b.at, new Packet.FullExchange(List.of(UPDATE), List.of())))
            .syncUninterruptibly();
        assertEquals("a asks " + new Packet.FullExchange(List.of(UPDATE), List.of()), b.next());
        assertEquals("b answers " + new Packet.FullExchange(List.of(), List.of(STATE)), a.next());
    }

    @Test void replayedDatagramAndReplacedProcessAreDropped() throws Exception {
        Instance b = new Instance("b", 1, KEY);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            Instance a = new Instance("a", 3, KEY);
            Instance later = new Instance("a", 4, KEY);
            byte[] first = capture(a, at, socket, 1);
            byte[] newer = capture(later, at, socket, 2);
            sendRaw(socket, b.at, first);
            assertTrue(b.next().contains("sequence=1"));
            sendRaw(socket, b.at, first);
            b.awaitDrops(DropReason.REPLAYED, 1);
            sendRaw(socket, b.at, newer);
            assertTrue(b.next().contains("sequence=2"));
            sendRaw(socket, b.at, capture(a, at, socket, 3));
            b.awaitDrops(DropReason.REPLAYED, 2);
            assertTrue(b.received.isEmpty());
        }
    }

    private static byte[] capture(Instance from, InetSocketAddress at, DatagramSocket socket, long sequence)
        throws Exception {
        from.send(at, new Message.Ack(sequence, List.of()));
        DatagramPacket packet = new DatagramPacket(new byte[SocketPeerTransport.MAX_DATAGRAM_BYTES],
            SocketPeerTransport.MAX_DATAGRAM_BYTES);
        socket.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private static void sendRaw(DatagramSocket from, InetSocketAddress to, byte[] bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    @Test void unauthenticCorruptedAndOversizedPacketsAreDroppedWhileOthersPass() throws Exception {
        Instance a = new Instance("a", 3, KEY);
        Instance b = new Instance("b", 1, KEY);
        Instance otherKey = new Instance("a", 9, "another key of 16 bytes".getBytes(StandardCharsets.US_ASCII));
        otherKey.send(b.at, new Message.Ack(1, List.of()));
        b.awaitDrops(DropReason.FORGED, 1);
        Random random = new Random(5);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            byte[] good = capture(a, new InetSocketAddress("127.0.0.1", socket.getLocalPort()), socket, 1);
            for (int i = 0; i < 200; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                sendRaw(socket, b.at, bad);
                byte[] noise = new byte[1 + random.nextInt(500)];
                random.nextBytes(noise);
                sendRaw(socket, b.at, noise);
                b.awaitDrops(DropReason.FORGED, 2 * i + 3);
            }
            sendRaw(socket, b.at, new byte[SocketPeerTransport.MAX_DATAGRAM_BYTES + 1]);
            b.awaitDrops(DropReason.OVERSIZED, 1);
            assertTrue(b.received.isEmpty());
            sendRaw(socket, b.at, good);
            assertTrue(b.next().contains("sequence=1"));
        }
        try (Socket caller = new Socket(b.at.getAddress(), b.at.getPort())) {
            caller.setSoTimeout(10_000);
            caller.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});   // a frame of 2 GB
            assertTrue(caller.getInputStream().readAllBytes().length <= 20, "only the challenge was sent");
        }
        b.awaitDrops(DropReason.OVERSIZED, 2);
    }

    /** An instance that lost its store restarts with a lower epoch: it is accepted once it answers a challenge. */
    @Test void challengedProcessOfLowerEpochIsAcceptedWithoutReplacingTheLater() {
        ReplayGuard guard = new ReplayGuard(4);
        assertTrue(guard.accept(new Seal.Envelope("a", 5, "old", 1, new byte[0]), false));
        assertFalse(guard.accept(new Seal.Envelope("a", 1, "lost", 1, new byte[0]), false),
            "a datagram of a lower epoch may be a replay");
        assertTrue(guard.accept(new Seal.Envelope("a", 1, "lost", 2, new byte[0]), true), "answered a challenge");
        assertTrue(guard.accept(new Seal.Envelope("a", 5, "old", 2, new byte[0]), false),
            "the later process is still accepted");
        assertTrue(guard.accept(new Seal.Envelope("a", 6, "lost", 3, new byte[0]), false), "raised its epoch");
        assertFalse(guard.accept(new Seal.Envelope("a", 5, "old", 3, new byte[0]), false));
    }

    @Test void countersAreAcceptedOnceInAnyOrderWithinTheWindow() {
        ReplayGuard guard = new ReplayGuard(4);
        List<Long> order = new ArrayList<>();
        for (long c = 1; c <= 3_000; c++) {
            order.add(c);
        }
        Random random = new Random(3);
        for (int i = 0; i < order.size(); i += 100) {
            Collections.shuffle(order.subList(i, i + 100), random);
        }
        for (long c : order) {
            assertTrue(guard.accept(new Seal.Envelope("a", 1, "l", c, new byte[0]), false), "counter " + c);
            assertFalse(guard.accept(new Seal.Envelope("a", 1, "l", c, new byte[0]), false), "counter " + c + " again");
        }
        assertFalse(guard.accept(new Seal.Envelope("a", 1, "l", 3_000 - ReplayGuard.WINDOW, new byte[0]), false));
        assertTrue(guard.accept(new Seal.Envelope("a", 1, "l", 9_000, new byte[0]), false));
        assertTrue(guard.accept(new Seal.Envelope("a", 1, "l", 8_999, new byte[0]), false), "the window was cleared");
    }

    @Test void comparisonOfInvalidSizeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Summary(List.of(1, 2, 3)));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Versions(List.of(64), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Versions(List.of(-1), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Delta(List.of(), List.of(),
            Collections.nCopies(AntiEntropy.MAX_ENTRIES + 1, "x")));
        assertThrows(IllegalArgumentException.class, () -> CompareCodec.read("sum", List.of("sum", new byte[7])));
        assertThrows(IllegalArgumentException.class, () -> CompareCodec.read("delta", List.of("delta", List.of())));
    }

    @Test void tooShortKeyIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Seal(Seal.key(" short \n".getBytes(
            StandardCharsets.US_ASCII))));
    }
}
