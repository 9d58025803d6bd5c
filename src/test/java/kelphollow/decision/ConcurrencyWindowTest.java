package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the window grows and shrinks with the latency. */
class ConcurrencyWindowTest {
    private static final double TARGET = 100;

    private final ConcurrencyWindow window = new ConcurrencyWindow();

    @Test void growsByOnePerWindowOfAnswersUpToMaxSize() {
        window.served(TARGET, TARGET, true, 1_000);
        assertEquals(3 + 1 / 3.0, window.size(), 1e-12);

        for (int i = 0; i < 10_000; i++) {
            window.served(TARGET, TARGET, true, 1_000);
        }

        assertEquals(ConcurrencyWindow.MAX_SIZE, window.size());
    }

    @Test void doesNotGrowUnlessFilled() {
        window.served(TARGET, TARGET, false, 1_000);

        assertEquals(3, window.size());
        assertTrue(window.isFilledBy(3));
        assertFalse(window.isFilledBy(2));
    }

    @Test void shrinksAtMostOncePerLatency() {
        window.served(200, TARGET, true, 1_000);
        window.served(200, TARGET, true, 1_200);
        assertEquals(3 * 0.8, window.size(), 1e-12);

        window.served(200, TARGET, true, 1_201);

        assertEquals(3 * 0.8 * 0.8, window.size(), 1e-12);
    }

    @Test void slowNodeStopsAtOneRequestBeforeItGetsARate() {
        double now = 1_000;
        boolean stoppedAtOne = false;
        for (int i = 0; i < 100; i++) {
            now += 1_000;
            window.served(200, TARGET, true, now);
            stoppedAtOne |= window.size() == 1;
        }

        assertTrue(stoppedAtOne);
        assertEquals(0.25, window.size());
    }

    @Test void failureHalvesAndRestartResetsToInitialSize() {
        window.failed();
        assertEquals(1.5, window.size());
        for (int i = 0; i < 100; i++) {
            window.served(TARGET, TARGET, true, 1_000);
        }

        window.restarted();

        assertEquals(3, window.size());
    }
}
