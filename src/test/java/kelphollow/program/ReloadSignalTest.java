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

/** SIGHUPs in quick succession. Guards against an older configuration that is applied after a newer one. */
@Timeout(20)
class ReloadSignalTest {
    /** Time for which the first reload waits for the second one to overtake it. */
    private static final int OVERTAKE_MS = 300;

    @Test void theNewerOfTwoFilesIsAppliedLast() throws Exception {
        AtomicInteger file = new AtomicInteger(1);
        CountDownLatch firstRead = new CountDownLatch(1);
        CountDownLatch secondApplied = new CountDownLatch(1);
        BlockingQueue<Integer> applied = new LinkedBlockingQueue<>();
        ReloadSignal.Reload reload = () -> {
            int read = file.get();
            if (read == 1) {
                firstRead.countDown();
                await(secondApplied);
            }
            applied.add(read);
            secondApplied.countDown();
        };
        ReloadSignal signal = new ReloadSignal();
        new Thread(() -> signal.reload(reload)).start();       // as the JVM runs the handler of each signal
        firstRead.await();
        file.set(2);

        new Thread(() -> signal.reload(reload)).start();

        assertEquals(List.of(1, 2), List.of(applied.take(), applied.take()));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(OVERTAKE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
