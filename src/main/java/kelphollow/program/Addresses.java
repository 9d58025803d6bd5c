package kelphollow.program;

import java.net.InetSocketAddress;

/** How addresses are written in the log and in requests. */
final class Addresses {
    private Addresses() {}

    /** {@code host:port}, the host as it was given. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
