package kelphollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import kelphollow.membership.MemberUpdate.State;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Updates of one member are totally ordered, so that all instances that received them agree. */
class MemberUpdateProperties {
    @Provide Arbitrary<MemberUpdate> updates() {
        return Combinators.combine(Arbitraries.longs().between(1, 3), Arbitraries.longs().between(0, 3),
            Arbitraries.of(State.class)).as((e, i, s) -> new MemberUpdate("x", "", e, i, s, ""));
    }

    @Property(tries = 1_000) void noTwoOverrideEachOtherAndTheOrderIsTransitive(@ForAll("updates") MemberUpdate a,
        @ForAll("updates") MemberUpdate b, @ForAll("updates") MemberUpdate c) {
        assertFalse(a.overrides(b) && b.overrides(a));
        assertFalse(a.overrides(a));
        if (a.overrides(b) && b.overrides(c)) {
            assertTrue(a.overrides(c), a + " " + b + " " + c);
        }
    }

    @Property(tries = 500) void theFinalViewIsTheSameInAnyOrder(@ForAll("updates") MemberUpdate first,
        @ForAll("updates") MemberUpdate second, @ForAll("updates") MemberUpdate third, @ForAll long seed) {
        List<MemberUpdate> all = new ArrayList<>(List.of(first, second, third,
            new MemberUpdate("x", "", 1, 0, State.ALIVE, "")));
        String inOrder = finalView(all);

        Collections.shuffle(all, new Random(seed));

        assertEquals(inOrder, finalView(all));
    }

    private static String finalView(List<MemberUpdate> all) {
        // Updates of absent members that are unknown are ignored, so ALIVE comes first. The updates are gossiped: a full
        // exchange would turn DEAD into SUSPECT, which the member could refute.
        Membership membership = new Membership(MembershipSettings.DEFAULTS, "me", "", 1, List.of(), new Random(1), 0);
        membership.merge(0, "y", List.of(new MemberUpdate("x", "", 0, 0, State.ALIVE, "")));
        all.forEach(update -> membership.received(0, "y", new Message.Gossip(List.of(update))));
        return membership.view().stream().filter(v -> v.name().equals("x"))
            .map(v -> v.epoch() + " " + v.state() + (v.state() == State.LEFT ? "" : " " + v.incarnation()))
            .findFirst().orElse("");
    }
}
