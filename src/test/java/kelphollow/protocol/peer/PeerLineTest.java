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

/** The line between instances on real sockets: what proves itself comes through once, and nothing else. */
@Timeout(30)
class PeerLineTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final MemberUpdate NEWS = new MemberUpdate("x", "127.0.0.1:1", 7, 2, MemberUpdate.State.SUSPECT, "y");
    private static final InstanceState PART = new InstanceState("a", 3, 4, 12.5, Map.of("drain", Map.of("n1", 5.0), "silent",
        Map.of("n2", 1.0)));

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<PeerLine> lines = new ArrayList<>();

    @AfterEach void end() {
        lines.forEach(PeerLine::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** One end, which keeps what it hears as text. */
    private final class End implements PeerLine.Peers {
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final PeerLine line;
        final InetSocketAddress at;

        End(String name, long epoch, byte[] key) throws Exception {
            line = new PeerLine(group.next(), name, () -> epoch, key, 8, this);
            lines.add(line);
            at = line.listen(new InetSocketAddress("127.0.0.1", 0));
        }

        @Override public void small(String from, Packet.Small packet) {
            heard.add(from + " " + packet);
        }

        @Override public void compared(String from, Packet.Compare packet) {
            heard.add(from + " compares " + packet.message());
        }

        @Override public Packet.Full asked(String from, Packet.Full theirs) {
            heard.add(from + " asks " + theirs);
            return new Packet.Full(List.of(), List.of(PART));
        }

        @Override public void answered(String from, Packet.Full theirs) {
            heard.add(from + " answers " + theirs);
        }

        void send(InetSocketAddress to, Message message) {
            group.next().submit(() -> line.send(to, new Packet.Small(message, List.of(PART)))).syncUninterruptibly();
        }

        String next() throws InterruptedException {
            return heard.poll(10, TimeUnit.SECONDS);
        }

        /** Waits until so much was dropped for this reason; the loop counts before it reads on. */
        void dropped(PeerLine.Drop why, long count) throws Exception {
            for (int i = 0; i < 1_000; i++) {
                if (group.next().submit(() -> line.drops().getOrDefault(why, 0L)).get() >= count) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
            fail("not dropped: " + why);
        }
    }

    @Test void everyKindOfMessageComesThroughAsItWas() throws Exception {
        End a = new End("a", 3, KEY), b = new End("b", 1, KEY);
        for (Message m : List.of(new Message.Ping(5, "b", List.of(NEWS)), new Message.PingRequest(6, "c", List.of()),
            new Message.Ack(7, List.of(NEWS)), new Message.Nack(8, List.of()), new Message.Gossip(List.of(NEWS)))) {
            a.send(b.at, m);
            assertEquals("a " + new Packet.Small(m, List.of(PART)), b.next());
        }
        AntiEntropy.Entry held = new AntiEntropy.Entry(new MemberUpdate("x", "", 7, 2, MemberUpdate.State.ALIVE, ""), 7, 9);
        AntiEntropy.Entry bare = new AntiEntropy.Entry(new MemberUpdate("y", "", 1, 0, MemberUpdate.State.LEFT, ""), -1, -1);
        List<Integer> hashes = new Random(1).ints(64).boxed().toList();
        for (AntiEntropy m : List.of(new AntiEntropy.Summary(hashes),
            new AntiEntropy.Versions(List.of(0, 63), List.of(held, bare)),
            new AntiEntropy.Delta(List.of(NEWS), List.of(PART), List.of("x", "y")))) {
            group.next().submit(() -> a.line.send(b.at, new Packet.Compare(m))).syncUninterruptibly();
            assertEquals("a compares " + m, b.next());
        }
        group.next().submit(() -> a.line.exchange("b", b.at, new Packet.Full(List.of(NEWS), List.of())))
            .syncUninterruptibly();
        assertEquals("a asks " + new Packet.Full(List.of(NEWS), List.of()), b.next());
        assertEquals("b answers " + new Packet.Full(List.of(), List.of(PART)), a.next());
    }

    @Test void aRecordedDatagramIsBelievedOnceAndAnOlderLifeNoMore() throws Exception {
        End b = new End("b", 1, KEY);
        try (DatagramSocket tap = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", tap.getLocalPort());
            End a = new End("a", 3, KEY), later = new End("a", 4, KEY);
            byte[] first = tapped(a, at, tap, 1), newer = tapped(later, at, tap, 2);
            raw(tap, b.at, first);
            assertTrue(b.next().contains("number=1"));
            raw(tap, b.at, first);
            b.dropped(PeerLine.Drop.REPLAYED, 1);
            raw(tap, b.at, newer);
            assertTrue(b.next().contains("number=2"));
            raw(tap, b.at, tapped(a, at, tap, 3));
            b.dropped(PeerLine.Drop.REPLAYED, 2);
            assertTrue(b.heard.isEmpty());
        }
    }

    private static byte[] tapped(End from, InetSocketAddress at, DatagramSocket tap, long number) throws Exception {
        from.send(at, new Message.Ack(number, List.of()));
        DatagramPacket packet = new DatagramPacket(new byte[PeerLine.LARGEST_DATAGRAM], PeerLine.LARGEST_DATAGRAM);
        tap.receive(packet);
        return java.util.Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private static void raw(DatagramSocket from, InetSocketAddress to, byte[] bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, to));
    }

    @Test void strangersNoiseFlippedBitsAndTooMuchAreDroppedAndTheLineGoesOn() throws Exception {
        End a = new End("a", 3, KEY), b = new End("b", 1, KEY);
        End stranger = new End("a", 9, "another key of 16 bytes".getBytes(StandardCharsets.US_ASCII));
        stranger.send(b.at, new Message.Ack(1, List.of()));
        b.dropped(PeerLine.Drop.FORGED, 1);
        Random random = new Random(5);
        try (DatagramSocket tap = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            byte[] good = tapped(a, new InetSocketAddress("127.0.0.1", tap.getLocalPort()), tap, 1);
            for (int i = 0; i < 200; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
                raw(tap, b.at, bad);
                byte[] noise = new byte[1 + random.nextInt(500)];
                random.nextBytes(noise);
                raw(tap, b.at, noise);
                b.dropped(PeerLine.Drop.FORGED, 2 * i + 3);
            }
            raw(tap, b.at, new byte[PeerLine.LARGEST_DATAGRAM + 1]);
            b.dropped(PeerLine.Drop.OVERSIZED, 1);
            assertTrue(b.heard.isEmpty());
            raw(tap, b.at, good);
            assertTrue(b.next().contains("number=1"));
        }
        try (Socket caller = new Socket(b.at.getAddress(), b.at.getPort())) {
            caller.setSoTimeout(10_000);
            caller.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});   // a frame of 2 GB
            assertTrue(caller.getInputStream().readAllBytes().length <= 20, "its challenge and no more");
        }
        b.dropped(PeerLine.Drop.OVERSIZED, 2);
    }

    @Test void anInstanceThatLostItsStoreIsHeardAndDoesNotReplaceALaterLife() {
        ReplayGuard guard = new ReplayGuard(4);
        assertTrue(guard.accept(new Seal.Sealed("a", 5, "old", 1, new byte[0]), false));
        assertFalse(guard.accept(new Seal.Sealed("a", 1, "lost", 1, new byte[0]), false), "a datagram proves nothing");
        assertTrue(guard.accept(new Seal.Sealed("a", 1, "lost", 2, new byte[0]), true), "it answered a challenge");
        assertTrue(guard.accept(new Seal.Sealed("a", 5, "old", 2, new byte[0]), false), "the later life goes on");
        assertTrue(guard.accept(new Seal.Sealed("a", 6, "lost", 3, new byte[0]), false), "it has raised its epoch");
        assertFalse(guard.accept(new Seal.Sealed("a", 5, "old", 3, new byte[0]), false));
    }

    @Test void countersMayComeLateWithinTheWindowAndEachOnce() {
        ReplayGuard guard = new ReplayGuard(4);
        List<Long> order = new ArrayList<>();
        for (long c = 1; c <= 3_000; c++) {
            order.add(c);
        }
        Random random = new Random(3);
        for (int i = 0; i < order.size(); i += 100) {
            java.util.Collections.shuffle(order.subList(i, i + 100), random);
        }
        for (long c : order) {
            assertTrue(guard.accept(new Seal.Sealed("a", 1, "l", c, new byte[0]), false), "counter " + c);
            assertFalse(guard.accept(new Seal.Sealed("a", 1, "l", c, new byte[0]), false), "counter " + c + " again");
        }
        assertFalse(guard.accept(new Seal.Sealed("a", 1, "l", 3_000 - ReplayGuard.WINDOW, new byte[0]), false));
        assertTrue(guard.accept(new Seal.Sealed("a", 1, "l", 9_000, new byte[0]), false));
        assertTrue(guard.accept(new Seal.Sealed("a", 1, "l", 8_999, new byte[0]), false), "the window was cleared");
    }

    @Test void aComparisonThatLiesAboutItsSizeIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Summary(List.of(1, 2, 3)));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Versions(List.of(64), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Versions(List.of(-1), List.of()));
        assertThrows(IllegalArgumentException.class, () -> new AntiEntropy.Delta(List.of(), List.of(),
            java.util.Collections.nCopies(AntiEntropy.MOST_ENTRIES + 1, "x")));
        assertThrows(IllegalArgumentException.class, () -> CompareCodec.read("sum", List.of("sum", new byte[7])));
        assertThrows(IllegalArgumentException.class, () -> CompareCodec.read("delta", List.of("delta", List.of())));
    }

    @Test void aKeyThatIsTooShortIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Seal(Seal.key(" short \n".getBytes(
            StandardCharsets.US_ASCII))));
    }
}
