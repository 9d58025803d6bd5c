package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;

/** SIGHUPs in quick succession. Guards against an older configuration that is applied after a newer one. */
@Timeout(20)
class ReloadSignalTest {
    private static final Signal HANG_UP = new Signal("HUP");
    /** Time for which the first reload waits for the second one to overtake it. */
    private static final int OVERTAKE_MS = 300;

    @Test void theNewerOfTwoFilesIsAppliedLast() throws Exception {
        AtomicInteger file = new AtomicInteger(1);
        CountDownLatch firstRead = new CountDownLatch(1);
        CountDownLatch secondApplied = new CountDownLatch(1);
        BlockingQueue<Integer> applied = new LinkedBlockingQueue<>();
        ReloadSignal signal = new ReloadSignal();
        try {
            signal.activate(() -> {
                int read = file.get();
                if (read == 1) {
                    firstRead.countDown();
                    await(secondApplied);
                }
                applied.add(read);
                secondApplied.countDown();
            });
            Signal.raise(HANG_UP);
            firstRead.await();
            file.set(2);

            Signal.raise(HANG_UP);

            assertEquals(List.of(1, 2), List.of(applied.take(), applied.take()));
        } finally {
            Signal.handle(HANG_UP, sun.misc.SignalHandler.SIG_DFL);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(OVERTAKE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
