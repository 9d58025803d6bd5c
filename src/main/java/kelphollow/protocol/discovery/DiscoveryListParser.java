package kelphollow.protocol.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.routing.ResolvedEndpoint;

/** Parses discovery's JSON form of an endpoint list and maps its names to the terms of this code. Stateless. */
public final class DiscoveryListParser {
    private DiscoveryListParser() {}

    /**
     * Parses an endpoint list.
     *
     * @param json the parsed document
     * @throws IllegalArgumentException naming the malformed key; a malformed list is rejected as a whole
     */
    public static DiscoveryList parse(Object json) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("hosts") instanceof List<?> rows)) {
            throw new IllegalArgumentException("'hosts' is missing or not a list");
        }
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (Object row : rows) {
            endpoints.add(endpoint(row));
        }
        return new DiscoveryList((long) number(map, "seq"), Boolean.TRUE.equals(map.get("whole")), endpoints);
    }

    private static ResolvedEndpoint endpoint(Object row) {
        if (!(row instanceof Map<?, ?> map)) {
            throw new IllegalArgumentException("an element of 'hosts' is not an object");
        }
        EndpointState state = switch (text(map, "health")) {
            case "ready" -> EndpointState.HEALTHY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("'health' is '" + map.get("health")
                + "', expected ready, draining or gone");
        };
        double startedAt = map.get("born_ms") == null ? 0 : number(map, "born_ms");
        String zone = map.get("site") instanceof String site ? site : null;
        Endpoint endpoint = new Endpoint(text(map, "host"), zone, (int) number(map, "block"), state, startedAt);
        return new ResolvedEndpoint(endpoint, parseAddress(text(map, "dial"), "dial"));
    }

    /**
     * Parses an IP address and port. Host names are rejected, because there is no DNS.
     *
     * @param key names the parsed key in the exception message
     * @throws IllegalArgumentException if the text is not an IP address and port
     */
    public static InetSocketAddress parseAddress(String text, String key) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                return new InetSocketAddress(host, port);
            }
        } catch (IllegalArgumentException e) {
            // thrown below, with the key
        }
        throw new IllegalArgumentException("'" + key + "' is '" + text + "', not ADDRESS:PORT");
    }

    private static String text(Map<?, ?> map, String key) {
        if (map.get(key) instanceof String value && !value.isEmpty()) {
            return value;
        }
        throw new IllegalArgumentException("'" + key + "' is missing or not a text");
    }

    private static double number(Map<?, ?> map, String key) {
        if (map.get(key) instanceof Double value) {
            return value;
        }
        throw new IllegalArgumentException("'" + key + "' is missing or not a number");
    }
}
