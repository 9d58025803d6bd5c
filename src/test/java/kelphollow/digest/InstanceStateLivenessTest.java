package kelphollow.digest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Membership of its owner keeps a state from expiring, and no older version replaces a newer one. */
class InstanceStateLivenessTest {
    private static final double TIME_TO_LIVE = 1_000;
    private final Digest digest = new Digest("self", 1, TIME_TO_LIVE, 4);

    private static InstanceState state(String owner, long epoch, long version, double age) {
        return new InstanceState(owner, epoch, version, age, Map.of(Subject.DRAIN.wireName(), Map.of("n", 10.0 * epoch
            + version)));
    }

    @Test void anUnchangedStateCountsWhileItsOwnerIsAlive() {
        digest.merge(0, List.of(state("a", 1, 1, 0)));
        for (double now = 0; now <= 10 * TIME_TO_LIVE; now += TIME_TO_LIVE / 2) {
            digest.renew(now, "a", 1);
            assertTrue(digest.expire(now).isEmpty());
        }
        digest.stopRenewing("a");
        digest.merge(11 * TIME_TO_LIVE, List.of(state("a", 1, 1, 0)));
        assertEquals(List.of("a"), digest.expire(11 * TIME_TO_LIVE),
            "a forwarded copy does not renew the state of an absent owner");
        assertEquals(List.of(), digest.merge(12 * TIME_TO_LIVE, List.of(state("a", 1, 1, 0))), "nor restore it");
        digest.renew(13 * TIME_TO_LIVE, "a", 1);
        assertEquals(List.of(new DrainNotice("a", "n", 11)), digest.drainNotices(13 * TIME_TO_LIVE),
            "restored without being sent again, since its owner is alive");
    }

    @Test void aStateOfAnEarlierEpochExpiresThoughTheOwnerIsAlive() {
        digest.merge(0, List.of(state("a", 1, 7, 0)));
        digest.renew(500, "a", 2);
        assertEquals(List.of("a"), digest.expire(TIME_TO_LIVE));
        assertEquals(1, digest.merge(TIME_TO_LIVE, List.of(state("a", 2, 1, 0))).size());
        assertTrue(digest.merge(TIME_TO_LIVE, List.of(state("a", 1, 9, 0))).isEmpty());
        digest.renew(TIME_TO_LIVE, "a", 2);
        assertEquals(List.of(new DrainNotice("a", "n", 21)), digest.drainNotices(TIME_TO_LIVE));
    }

    @Property(tries = 300) void noOlderCopyReplacesANewerOneWhateverMembershipSaysBetween(
        @ForAll List<@IntRange(min = 0, max = 4) Integer> steps) {
        Digest tested = new Digest("self", 1, TIME_TO_LIVE, 4);
        long highest = 0;
        double now = 0;
        for (int step : steps) {
            now += 400;
            switch (step) {
                case 0 -> tested.renew(now, "a", 1);
                case 1 -> tested.stopRenewing("a");
                case 2 -> tested.expire(now);
                case 3 -> tested.merge(now, List.of(state("a", 1, Math.max(0, highest - 1), 0)));
                default -> tested.merge(now, List.of(state("a", 1, ++highest, 0)));
            }
            InstanceState cached = tested.state("a");
            assertTrue(cached == null || cached.version() >= highest,
                "version " + highest + " was seen, now " + cached);
        }
    }

    @Test void aDrainNoticeIsNewOnlyWhileNoOtherStateHasIt() {
        InstanceState first = state("a", 1, 1, 0);
        assertTrue(digest.hasNewDrainNotice(first, null));
        digest.merge(0, List.of(first));
        InstanceState second = new InstanceState("b", 3, 3, 0, first.subjects());
        assertFalse(digest.hasNewDrainNotice(second, null), "a notice by a second reporter is not new");
        assertFalse(digest.hasNewDrainNotice(new InstanceState("a", 1, 2, 0, first.subjects()), first),
            "nor is the same notice in a new version");
        assertTrue(digest.hasNewDrainNotice(state("a", 1, 2, 0), first), "a notice after another start of the node is");
    }
}
