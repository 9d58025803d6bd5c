package kelphollow.lab.soak;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Addresses of 127.0.0.0/8 for the fake parties of a run. Each party has its own, so that a process with an old list does
 * not reach a party of another run that has drawn the same port.
 */
final class LoopbackAddress {
    private static final int FIRST_SECOND_OCTET = 16;
    private static final int VALUES = 200;
    private static final AtomicInteger NEXT = new AtomicInteger();

    private LoopbackAddress() {}

    /** Returns an address that no other party of this process has, and none of another process that runs beside it. */
    static InetAddress next() {
        int number = NEXT.getAndIncrement();
        long process = ProcessHandle.current().pid();
        try {
            return InetAddress.getByAddress(new byte[] {127, (byte) (FIRST_SECOND_OCTET + number % VALUES),
                (byte) (process / VALUES % VALUES), (byte) (1 + process % VALUES)});
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }
}
