package kelphollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import kelphollow.membership.MemberUpdate.State;
import kelphollow.membership.MembershipOutput.Event;
import kelphollow.membership.MembershipOutput.Kind;
import kelphollow.membership.MembershipOutput.Send;
import org.junit.jupiter.api.Test;

/** Answers of one instance to single messages (SWIM sections 3.1 and 4.2, Lifeguard's nack). */
class MembershipMessagesTest {
    private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULTS;
    private static final double NACK_AFTER = 0.8 * SETTINGS.probeTimeout();

    private final Membership membership = new Membership(SETTINGS, "self", "self:1", 1, List.of(), new Random(1), 0);

    MembershipMessagesTest() {
        membership.merge(0, "a", List.of(alive("a"), alive("b")));
    }

    private static MemberUpdate alive(String name) {
        return new MemberUpdate(name, name + ":1", 1, 0, State.ALIVE, "");
    }

    private static List<Message> sentTo(String name, List<MembershipOutput> outputs) {
        return outputs.stream().filter(o -> o instanceof Send s && s.to().equals(name)).map(o -> ((Send) o).message())
            .toList();
    }

    private static List<Kind> events(String name, List<MembershipOutput> outputs) {
        return outputs.stream().filter(o -> o instanceof Event e && e.name().equals(name)).map(o -> ((Event) o).kind())
            .toList();
    }

    @Test void aPingIsAcknowledgedWithItsSequence() {
        List<MembershipOutput> outputs = membership.received(1, "a", new Message.Ping(7, "self", List.of()));

        Message.Ack ack = (Message.Ack) sentTo("a", outputs).get(0);
        assertEquals(7, ack.sequence());
    }

    @Test void aPingForAnotherNameAtThisAddressIsIgnored() {
        List<MembershipOutput> outputs = membership.received(1, "a", new Message.Ping(7, "other", List.of()));

        assertEquals(List.of(), outputs);
    }

    @Test void anIndirectProbeIsRelayedAndItsAckReturnedUnderTheSequenceOfTheRequest() {
        List<MembershipOutput> requested = membership.received(1, "a", new Message.PingRequest(7, "b", List.of()));
        Message.Ping relayed = (Message.Ping) sentTo("b", requested).get(0);

        List<MembershipOutput> acknowledged = membership.received(2, "b", new Message.Ack(relayed.sequence(), List.of()));

        assertEquals("b", relayed.target());
        assertEquals(7, ((Message.Ack) sentTo("a", acknowledged).get(0)).sequence());
    }

    @Test void anUnansweredIndirectProbeIsReportedByANackInTime() {
        membership.received(1, "a", new Message.PingRequest(7, "b", List.of()));

        List<Message> early = sentTo("a", membership.tick(NACK_AFTER)).stream().filter(m -> m instanceof Message.Nack)
            .toList();
        List<Message> due = sentTo("a", membership.tick(1 + NACK_AFTER)).stream().filter(m -> m instanceof Message.Nack)
            .toList();

        assertEquals(List.of(), early);
        assertEquals(7, ((Message.Nack) due.get(0)).sequence());
    }

    @Test void anIndirectProbeOfAnUnknownMemberIsNotMade() {
        List<MembershipOutput> outputs = membership.received(1, "a", new Message.PingRequest(7, "unknown", List.of()));

        assertEquals(List.of(), outputs);
    }

    @Test void aDeathInAFullExchangeOnlySuspectsAMemberThatIsPresentHere() {
        MemberUpdate dead = alive("b").withState(State.DEAD, "a");

        List<MembershipOutput> outputs = membership.merge(1, "a", List.of(dead));

        assertEquals(List.of(Kind.SUSPECTED), events("b", outputs));
        assertTrue(membership.isPresent("b"));
    }

    @Test void aDeathByGossipCounts() {
        MemberUpdate dead = alive("b").withState(State.DEAD, "a");

        List<MembershipOutput> outputs = membership.received(1, "a", new Message.Gossip(List.of(dead)));

        assertEquals(List.of(Kind.FAILED), events("b", outputs));
        assertEquals(List.of("a"), membership.presentMembers());
    }

    @Test void aSuspicionOfThisInstanceIsRefutedByAHigherIncarnation() {
        MemberUpdate suspect = new MemberUpdate("self", "self:1", 1, 3, State.SUSPECT, "a");

        List<MembershipOutput> outputs = membership.received(1, "a", new Message.Gossip(List.of(suspect)));

        assertEquals(List.of(Kind.REFUTED), events("self", outputs));
        assertEquals(new MemberUpdate("self", "self:1", 1, 4, State.ALIVE, ""), membership.snapshot().get(0));
    }

    @Test void afterLeavingNothingIsSent() {
        List<MembershipOutput> left = membership.leave(1);

        List<MembershipOutput> afterwards = membership.received(2, "a", new Message.Ping(7, "self", List.of()));

        assertEquals(1, sentTo("a", left).size());
        assertEquals(List.of(), afterwards);
    }
}
