package kelphollow.protocol.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.routing.ResolvedEndpoint;

/** A node list in discovery's form. */
public record DiscoveryListParser(long version, boolean complete, List<ResolvedEndpoint> members) {
    /** Reads a list; throws {@link IllegalArgumentException} naming the fault. Nothing of a faulty list is used. */
    public static DiscoveryListParser read(Object json) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("hosts") instanceof List<?> rows)) {
            throw new IllegalArgumentException("'hosts' is missing");
        }
        List<ResolvedEndpoint> members = new ArrayList<>();
        for (Object row : rows) {
            members.add(member(row));
        }
        return new DiscoveryListParser((long) number(map, "seq"), Boolean.TRUE.equals(map.get("whole")), members);
    }

    private static ResolvedEndpoint member(Object row) {
        if (!(row instanceof Map<?, ?> m)) {
            throw new IllegalArgumentException("a host is not an object");
        }
        EndpointState phase = switch (word(m, "health")) {
            case "ready" -> EndpointState.HEALTHY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("'health' is '" + m.get("health") + "'");
        };
        double born = m.get("born_ms") == null ? 0 : number(m, "born_ms");
        return new ResolvedEndpoint(new Endpoint(word(m, "host"), m.get("site") instanceof String s ? s : null,
            (int) number(m, "block"), phase, born), address(word(m, "dial"), "dial"));
    }

    /** An address and port; {@code key} is named if it is none. Names are not looked up: there is no DNS. */
    public static InetSocketAddress address(String text, String key) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // told below
        }
        throw new IllegalArgumentException("'" + key + "' is '" + text + "', not ADDRESS:PORT");
    }

    private static String word(Map<?, ?> map, String key) {
        if (map.get(key) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new IllegalArgumentException("'" + key + "' is missing or not a text");
    }

    private static double number(Map<?, ?> map, String key) {
        if (map.get(key) instanceof Double d) {
            return d;
        }
        throw new IllegalArgumentException("'" + key + "' is missing or not a number");
    }
}
