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

/** A part lives by its owner's membership, and no old word wins. */
class InstanceStateLivenessTest {
    private static final double FADES = 1_000;
    private final Digest digest = new Digest("self", 1, FADES, 4);

    private static InstanceState part(String who, long epoch, long version, double age) {
        return new InstanceState(who, epoch, version, age, Map.of("drain", Map.of("n", 10.0 * epoch + version)));
    }

    @Test void anUnchangedPartCountsAsLongAsItsOwnerLives() {
        digest.merge(0, List.of(part("a", 1, 1, 0)));
        for (double now = 0; now <= 10 * FADES; now += FADES / 2) {
            digest.renew(now, "a", 1);
            assertTrue(digest.fade(now).isEmpty());
        }
        digest.lapse("a");
        digest.merge(11 * FADES, List.of(part("a", 1, 1, 0)));
        assertEquals(List.of("a"), digest.fade(11 * FADES), "the copy of another does not renew whom membership gave up");
        assertEquals(List.of(), digest.merge(12 * FADES, List.of(part("a", 1, 1, 0))), "nor bring it back");
        digest.renew(13 * FADES, "a", 1);
        assertEquals(11.0, digest.on("drain", 13 * FADES).get("a").get("n"), "it was alive: nothing need be told again");
    }

    @Test void whatWasSaidInAnEarlierLifeFadesThoughTheOwnerLives() {
        digest.merge(0, List.of(part("a", 1, 7, 0)));
        digest.renew(500, "a", 2);
        assertEquals(List.of("a"), digest.fade(FADES));
        assertEquals(1, digest.merge(FADES, List.of(part("a", 2, 1, 0))).size());
        assertTrue(digest.merge(FADES, List.of(part("a", 1, 9, 0))).isEmpty());
        digest.renew(FADES, "a", 2);
        assertEquals(21.0, digest.on("drain", FADES).get("a").get("n"));
    }

    @Property(tries = 300) void noOlderCopyReplacesANewerOneWhateverMembershipSaysBetween(
        @ForAll List<@IntRange(min = 0, max = 4) Integer> steps) {
        Digest d = new Digest("self", 1, FADES, 4);
        long highest = 0;
        double now = 0;
        for (int step : steps) {
            now += 400;
            switch (step) {
                case 0 -> d.renew(now, "a", 1);
                case 1 -> d.lapse("a");
                case 2 -> d.fade(now);
                case 3 -> d.merge(now, List.of(part("a", 1, Math.max(0, highest - 1), 0)));
                default -> d.merge(now, List.of(part("a", 1, ++highest, 0)));
            }
            InstanceState held = d.part("a");
            assertTrue(held == null || held.version() >= highest, "version " + highest + " was seen, now " + held);
        }
    }

    @Test void aDrainIsNewsOnlyWhileNobodyElseNamesIt() {
        InstanceState first = part("a", 1, 1, 0);
        assertTrue(digest.tellsNewDrain(first, null));
        digest.merge(0, List.of(first));
        InstanceState witness = new InstanceState("b", 3, 3, 0, first.subjects());
        assertFalse(digest.tellsNewDrain(witness, null), "a second witness is no news");
        assertFalse(digest.tellsNewDrain(new InstanceState("a", 1, 2, 0, first.subjects()), first),
            "nor is the same in a new version");
        assertTrue(digest.tellsNewDrain(part("a", 1, 2, 0), first), "another start of the node is");
    }
}
