package kelphollow.protocol.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlApi.NodeEntry;
import kelphollow.decision.ControlApi.Phase;
import kelphollow.routing.Member;

/** A node list in discovery's form. */
public record Members(long version, boolean whole, List<Member> members) {
    /** Reads a list; throws {@link IllegalArgumentException} naming the fault. Nothing of a faulty list is used. */
    public static Members read(Object json) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("hosts") instanceof List<?> rows)) {
            throw new IllegalArgumentException("'hosts' is missing");
        }
        List<Member> members = new ArrayList<>();
        for (Object row : rows) {
            members.add(member(row));
        }
        return new Members((long) number(map, "seq"), Boolean.TRUE.equals(map.get("whole")), members);
    }

    private static Member member(Object row) {
        if (!(row instanceof Map<?, ?> m)) {
            throw new IllegalArgumentException("a host is not an object");
        }
        Phase phase = switch (word(m, "health")) {
            case "ready" -> Phase.HEALTHY;
            case "draining" -> Phase.DRAINING;
            case "gone" -> Phase.GONE;
            default -> throw new IllegalArgumentException("'health' is '" + m.get("health") + "'");
        };
        double born = m.get("born_ms") == null ? 0 : number(m, "born_ms");
        return new Member(new NodeEntry(word(m, "host"), m.get("site") instanceof String s ? s : null,
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
