package kelphollow.digest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A drain told to one is kept by all, until discovery's later word. */
class DrainNoticesTest {
    private final Digest theirs = new Digest("them", 1, 10_000, 8), ours = new Digest("us", 1, 10_000, 8);
    private final DrainNotices them = new DrainNotices("them"), us = new DrainNotices("us");

    private Set<String> heard(double now) {
        theirs.publish(now);
        ours.merge(now, theirs.all(now));
        return us.byOthers(now, ours);
    }

    @Test void whatOneWasToldAllKeepUntilItTakesItBack() {
        us.told(0, "n", false, false, 5, ours);
        them.told(0, "n", true, false, 5, theirs);
        assertEquals(Set.of("n"), heard(1));
        them.told(10, "n", false, false, 5, theirs);
        assertEquals(Set.of(), heard(11));
    }

    @Test void aLaterStartOrOurOwnTakingBackIsTheLaterWord() {
        us.told(0, "n", false, false, 5, ours);
        them.told(0, "n", true, false, 5, theirs);
        assertEquals(Set.of("n"), heard(1));
        us.told(2, "n", false, false, 5, ours);
        assertEquals(Set.of("n"), heard(3), "our list says what it said before: it may be late");
        us.told(4, "n", false, false, 6, ours);
        assertEquals(Set.of(), heard(5), "the node has started anew");
        them.told(6, "n", true, false, 6, theirs);
        assertEquals(Set.of("n"), heard(7), "and drains anew");
        us.told(8, "n", true, false, 6, ours);
        us.told(9, "n", false, false, 6, ours);
        assertEquals(Set.of(), heard(10), "we saw the drain come and go");
    }

    @Test void ourOwnDrainsAreOursAndAWordThatIsNotRenewedFades() {
        us.told(0, "m", true, false, 0, ours);
        assertEquals(Set.of(), us.byOthers(0, ours), "the list holds it already");
        them.told(0, "n", false, true, 0, theirs);
        assertEquals(Set.of("n"), heard(1), "gone counts as well");
        assertEquals(Set.of(), us.byOthers(10_002, ours), "the teller is away");
        assertEquals(List.of("them"), ours.fade(10_002));
    }
}
