package kelphollow.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import kelphollow.membership.Membership;

/** Resolves instance names to addresses; configured addresses override announced ones. */
final class PeerAddresses {
    private final Map<String, InetSocketAddress> configured;
    private final Membership membership;

    PeerAddresses(Map<String, InetSocketAddress> configured, Membership membership) {
        this.configured = configured;
        this.membership = membership;
    }

    /** Returns the address of an instance, or null if it is unknown or announces no valid address. */
    InetSocketAddress resolve(String name) {
        InetSocketAddress known = configured.get(name);
        return known != null ? known : parse(membership.addressOf(name));
    }

    /** Returns the announced form of a listen address, {@code IP:PORT}. */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress parse(String announced) {
        int colon = announced == null ? -1 : announced.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        try {
            return new InetSocketAddress(announced.substring(0, colon), Integer.parseInt(announced.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
