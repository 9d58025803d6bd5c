package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.digest.InstanceState;
import kelphollow.fleet.EventLog;
import kelphollow.fleet.Fleet;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.MembershipOutput;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.peer.DropReason;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.Traffic;
import kelphollow.routing.AdmissionFilter;
import kelphollow.routing.FleetRouting;
import kelphollow.routing.Ticker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Keys and values of {@code fleet status} and of the fleet's events, taken from the production fleet without sockets. */
class FleetNamesTest {
    private static final String FILE = "deploy/fleet-a.json";
    private static final String PEER = "gateway-b";
    /** Subjects of an instance's state, as sent between instances. */
    private static final String DRAIN = "drain";
    private static final String SILENT = "silent";
    private static final String REFUSED = "refused";
    private static final List<String> SILENT_NODES = List.of("n1", "n2", "n3", "n4", "n5", "n6");
    private static final long EPOCH = 1;
    private static final int ADVANCES = 10;
    private static final double ADVANCE_MS = 50;

    private final Clock clock = new Clock();
    private final Nodes nodes = new Nodes();
    private final List<String> events = new ArrayList<>();
    private Fleet fleet;

    @BeforeEach void join() throws Exception {
        ObjectConfig config = ObjectConfig.read(FILE);
        fleet = new Fleet(config.fleet().options(), config.settings(), EPOCH, (name, epoch, peers) -> new LossyTransport(),
            clock,
            nodes, new Random(1), new EventLog(new Listener()), raised -> {});
        fleet.start();
    }

    /** Receives every kind of state that a peer can send about nodes and instances. */
    private void receivePeerState() {
        Map<String, Double> silent = new TreeMap<>();
        SILENT_NODES.forEach(node -> silent.put(node, 3.0));
        InstanceState part = new InstanceState(PEER, EPOCH, 1, 0, Map.of(DRAIN, Map.of("n9", 0.0), SILENT, silent, REFUSED,
            Map.of("7", 6.0)));
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(new MemberUpdate(PEER, "127.0.0.1:9022", EPOCH, 0, MemberUpdate.State.ALIVE, ""));
        for (MemberUpdate.State state : MemberUpdate.State.values()) {
            String name = "gateway-" + state.ordinal();
            updates.add(new MemberUpdate(name, "127.0.0.1:9030", EPOCH, 0, MemberUpdate.State.ALIVE, ""));
            updates.add(new MemberUpdate(name, "127.0.0.1:9030", EPOCH, 0, state, PEER));
        }
        fleet.membershipReceived(PEER, new Packet.Membership(new Message.Gossip(updates), List.of(part)));
        nodes.list.accept(List.of(new Endpoint("n8", "", 0, EndpointState.DRAINING, 0)));
        for (int i = 0; i < ADVANCES; i++) {
            clock.advance(ADVANCE_MS);
        }
    }

    @Test void keysAndValuesOfTheStatusAreThoseRecorded() throws Exception {
        receivePeerState();

        Map<?, ?> status = (Map<?, ?>) Json.parse(fleet.status());

        RecordedNames.assertRecorded("status-keys.txt", RecordedNames.keys(status));
        SortedSet<String> states = new TreeSet<>();
        for (Object member : (List<?>) status.get("members")) {
            states.add((String) ((Map<?, ?>) member).get("state"));
        }
        RecordedNames.assertRecorded("member-states.txt", states);
        assertEquals(Map.of("7", "70% of what is worth under 6.0"), status.get("gives_way"));
    }

    @Test void eventsAndTheirKeysAreThoseRecorded() throws Exception {
        receivePeerState();
        fleet.membershipChanged(new MembershipOutput.EpochRaised(EPOCH + 1));
        for (MembershipOutput.Kind kind : MembershipOutput.Kind.values()) {
            fleet.membershipChanged(new MembershipOutput.Event(kind, PEER, EPOCH, "why"));
        }
        fleet.leave();

        SortedSet<String> found = new TreeSet<>();
        for (String line : events) {
            Map<?, ?> event = (Map<?, ?>) Json.parse(line);
            found.add(event.get("event") + ": " + String.join(" ", RecordedNames.keys(event)));
        }
        RecordedNames.assertRecorded("events.txt", found);
    }

    /** The reasons given in the fleet's events, which operators search for. */
    @Test void aRefutedSuspicionIsReportedInTheRecordedWords() throws Exception {
        String self = ObjectConfig.read(FILE).name();
        List<MemberUpdate> updates = new ArrayList<>();
        updates.add(new MemberUpdate(self, "127.0.0.1:9021", EPOCH, 0, MemberUpdate.State.SUSPECT, PEER));
        updates.add(new MemberUpdate(self, "127.0.0.1:9021", EPOCH, 1, MemberUpdate.State.DEAD, PEER));

        fleet.membershipReceived(PEER, new Packet.Membership(new Message.Gossip(updates), List.of()));

        SortedSet<String> reasons = new TreeSet<>();
        for (String line : events) {
            Map<?, ?> event = (Map<?, ?>) Json.parse(line);
            reasons.add(event.get("event") + " " + event.get("why"));
        }
        assertTrue(reasons.containsAll(Set.of("refuted SUSPECT by " + PEER, "refuted DEAD by " + PEER)), reasons.toString());
    }

    /** Collects the events as they are logged. */
    private final class Listener extends Handler {
        @Override public void publish(LogRecord record) {
            events.add(record.getMessage());
        }

        @Override public void flush() {}

        @Override public void close() {}
    }

    /** Routing stub in which some storage nodes do not respond. */
    private static final class Nodes implements FleetRouting {
        Consumer<List<Endpoint>> list;

        @Override public void limitRetries(double share, double span) {}

        @Override public void setAdmissionFilter(AdmissionFilter filter) {}

        @Override public void onEndpointsReceived(Consumer<List<Endpoint>> listener) {
            list = listener;
        }

        @Override public void eject(Set<String> names) {}

        @Override public void suspect(Set<String> names) {}

        @Override public Map<String, Integer> unresponsiveNodes() {
            Map<String, Integer> silent = new LinkedHashMap<>();
            SILENT_NODES.forEach(node -> silent.put(node, 3));
            return silent;
        }
    }

    /** A transport that loses every packet and reports one drop for each reason. */
    private static final class LossyTransport implements PeerTransport {
        private final Traffic traffic = new Traffic();

        @Override public InetSocketAddress listen(InetSocketAddress at) {
            return at;
        }

        @Override public long send(InetSocketAddress to, Packet packet) {
            return 1;
        }

        @Override public void exchange(String with, InetSocketAddress at, Packet.FullExchange ours) {}

        @Override public Map<DropReason, Long> drops() {
            Map<DropReason, Long> drops = new EnumMap<>(DropReason.class);
            for (DropReason why : DropReason.values()) {
                drops.put(why, 1L);
            }
            return drops;
        }

        @Override public Traffic traffic() {
            return traffic;
        }

        @Override public void close() {}
    }

    /** A clock that only the test advances. */
    private static final class Clock implements Ticker {
        private record ScheduledTask(double at, Runnable task) {}

        private final List<ScheduledTask> scheduled = new ArrayList<>();
        private double now = 1_700_000_000_000.0;

        @Override public double now() {
            return now;
        }

        @Override public Timeout after(double millis, Runnable task) {
            ScheduledTask due = new ScheduledTask(now + millis, task);
            scheduled.add(due);
            return () -> scheduled.remove(due);
        }

        void advance(double millis) {
            now += millis;
            List<ScheduledTask> ready = scheduled.stream().filter(due -> due.at <= now).toList();
            scheduled.removeAll(ready);
            ready.forEach(due -> due.task.run());
        }
    }
}
