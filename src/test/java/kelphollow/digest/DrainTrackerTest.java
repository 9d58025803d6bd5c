package kelphollow.digest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A drain that one instance learned of applies to all, until newer information from discovery overrides it. */
class DrainTrackerTest {
    private final Digest theirDigest = new Digest("them", 1, 10_000, 8);
    private final Digest ourDigest = new Digest("us", 1, 10_000, 8);
    private final DrainTracker theirs = new DrainTracker("them");
    private final DrainTracker ours = new DrainTracker("us");

    private Set<String> drainingAfterGossip(double now) {
        theirDigest.commit(now);
        ourDigest.merge(now, theirDigest.snapshot(now));
        return ours.drainingByOthers(now, ourDigest);
    }

    @Test void aNoticeAppliesToAllUntilItsReporterWithdrawsIt() {
        ours.discovered(0, "n", false, false, 5, ourDigest);
        theirs.discovered(0, "n", true, false, 5, theirDigest);
        assertEquals(Set.of("n"), drainingAfterGossip(1));
        theirs.discovered(10, "n", false, false, 5, theirDigest);
        assertEquals(Set.of(), drainingAfterGossip(11));
    }

    @Test void aLaterStartOrAnEndSeenByOurDiscoveryOverridesTheNotice() {
        ours.discovered(0, "n", false, false, 5, ourDigest);
        theirs.discovered(0, "n", true, false, 5, theirDigest);
        assertEquals(Set.of("n"), drainingAfterGossip(1));
        ours.discovered(2, "n", false, false, 5, ourDigest);
        assertEquals(Set.of("n"), drainingAfterGossip(3), "our endpoint list is unchanged, so it may be late");
        ours.discovered(4, "n", false, false, 6, ourDigest);
        assertEquals(Set.of(), drainingAfterGossip(5), "the node was started again");
        theirs.discovered(6, "n", true, false, 6, theirDigest);
        assertEquals(Set.of("n"), drainingAfterGossip(7), "the node drains again");
        ours.discovered(8, "n", true, false, 6, ourDigest);
        ours.discovered(9, "n", false, false, 6, ourDigest);
        assertEquals(Set.of(), drainingAfterGossip(10), "our discovery reported the start and the end of the drain");
    }

    @Test void ourOwnDrainsDoNotCountAndANoticeThatIsNotRenewedExpires() {
        ours.discovered(0, "m", true, false, 0, ourDigest);
        assertEquals(Set.of(), ours.drainingByOthers(0, ourDigest), "our endpoint list has the drain already");
        theirs.discovered(0, "n", false, true, 0, theirDigest);
        assertEquals(Set.of("n"), drainingAfterGossip(1), "a removed node counts as well");
        assertEquals(Set.of(), ours.drainingByOthers(10_002, ourDigest), "the reporter is gone");
        assertEquals(List.of("them"), ourDigest.expire(10_002));
    }
}
