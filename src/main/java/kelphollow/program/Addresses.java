package kelphollow.program;

import java.net.InetSocketAddress;

/** Formats addresses for logs and requests. */
final class Addresses {
    private Addresses() {}

    /** Returns {@code host:port} with the host as configured, without a reverse lookup. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
