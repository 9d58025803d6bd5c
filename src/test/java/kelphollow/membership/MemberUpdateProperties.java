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

/** News of one instance are ordered, so that what all hear in the end is what all believe. */
class MemberUpdateProperties {
    @Provide Arbitrary<MemberUpdate> news() {
        return Combinators.combine(Arbitraries.longs().between(1, 3), Arbitraries.longs().between(0, 3),
            Arbitraries.of(State.class)).as((e, i, s) -> new MemberUpdate("x", "", e, i, s, ""));
    }

    @Property(tries = 1_000) void noTwoOverrideEachOtherAndTheOrderIsTransitive(@ForAll("news") MemberUpdate a,
        @ForAll("news") MemberUpdate b, @ForAll("news") MemberUpdate c) {
        assertFalse(a.overrides(b) && b.overrides(a));
        assertFalse(a.overrides(a));
        if (a.overrides(b) && b.overrides(c)) {
            assertTrue(a.overrides(c), a + " " + b + " " + c);
        }
    }

    @Property(tries = 500) void theLastWordIsTheSameInAnyOrder(@ForAll("news") MemberUpdate first,
        @ForAll("news") MemberUpdate second,
        @ForAll("news") MemberUpdate third, @ForAll long seed) {
        List<MemberUpdate> all = new ArrayList<>(List.of(first, second, third, new MemberUpdate("x", "", 1, 0, State.ALIVE,
            "")));
        String told = last(all);
        Collections.shuffle(all, new Random(seed));
        assertEquals(told, last(all));
    }

    private static String last(List<MemberUpdate> all) {
        // Nobody keeps what is dead of one that was never known, so life is told first. Rumours only: a full exchange
        // makes suspects of the dead, and what they say decides.
        Membership m = new Membership(Settings.USUAL, "me", "", 1, List.of(), new Random(1), 0);
        m.told(0, "y", List.of(new MemberUpdate("x", "", 0, 0, State.ALIVE, "")));
        all.forEach(n -> m.received(0, "y", new Message.Gossip(List.of(n))));
        return m.view().stream().filter(v -> v.name().equals("x"))
            .map(v -> v.epoch() + " " + v.state() + (v.state() == State.LEFT ? "" : " " + v.incarnation())).findFirst()
            .orElse("");
    }
}
