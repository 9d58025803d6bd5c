package kelphollow.protocol.xds;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.routing.ResolvedEndpoint;

/**
 * Envoy's Cluster and ClusterLoadAssignment in proto3 JSON, read into a node list. Both spellings of a field are
 * taken, {@code lb_endpoints} and {@code lbEndpoints}. A faulty resource throws {@link IllegalArgumentException}
 * naming its place, and nothing of it is used.
 */
public final class XdsClusters {
    public static final String CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    public static final String ASSIGNMENT = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    // Where an endpoint's metadata holds its shard and, if told, its last start.
    private static final String METADATA = "kelphollow";

    private XdsClusters() {}

    /** A cluster: the name that its endpoints are asked by, and those it brings itself (or null). */
    public record Cluster(String name, String serviceName, List<ResolvedEndpoint> inline) {}

    /** Finds the named cluster among resources. */
    public static Cluster cluster(List<?> resources, String wanted, int shards) {
        for (int i = 0; i < resources.size(); i++) {
            Map<?, ?> c = typed(resources.get(i), "clusters[" + i + "]", CLUSTER);
            String name = text(c, "clusters[" + i + "]", "name");
            if (name.equals(wanted)) {
                String service = field(c, "eds_cluster_config") instanceof Map<?, ?> eds
                    && field(eds, "service_name") instanceof String s && !s.isEmpty() ? s : name;
                Object inline = field(c, "load_assignment");
                return new Cluster(name, service,
                    inline == null ? null : members(inline, "clusters[" + i + "].load_assignment", shards));
            }
        }
        throw new IllegalArgumentException("clusters: '" + wanted + "' is missing");
    }

    /** Finds the endpoints of a cluster among resources. */
    public static List<ResolvedEndpoint> endpoints(List<?> resources, String service, int shards) {
        for (int i = 0; i < resources.size(); i++) {
            String path = "endpoints[" + i + "]";
            Map<?, ?> assignment = typed(resources.get(i), path, ASSIGNMENT);
            if (text(assignment, path, "cluster_name").equals(service)) {
                return members(assignment, path, shards);
            }
        }
        throw new IllegalArgumentException("endpoints: those of '" + service + "' are missing");
    }

    private static List<ResolvedEndpoint> members(Object assignment, String path, int shards) {
        if (!(assignment instanceof Map<?, ?> a)) {
            throw new IllegalArgumentException(path + " is not an object");
        }
        List<ResolvedEndpoint> members = new ArrayList<>();
        Set<String> names = new HashSet<>();
        List<?> localities = list(a, path, "endpoints");
        for (int i = 0; i < localities.size(); i++) {
            String at = path + ".endpoints[" + i + "]";
            if (!(localities.get(i) instanceof Map<?, ?> group)) {
                throw new IllegalArgumentException(at + " is not an object");
            }
            String zone = field(group, "locality") instanceof Map<?, ?> l && field(l, "zone") instanceof String z ? z : null;
            List<?> endpoints = list(group, at, "lb_endpoints");
            for (int j = 0; j < endpoints.size(); j++) {
                ResolvedEndpoint member = member(endpoints.get(j), at + ".lb_endpoints[" + j + "]", zone, shards);
                if (!names.add(member.endpoint().node())) {
                    throw new IllegalArgumentException(at + ": " + member.endpoint().node() + " is there twice");
                }
                members.add(member);
            }
        }
        return members;
    }

    private static ResolvedEndpoint member(Object endpoint, String path, String zone, int shards) {
        Map<?, ?> e = object(endpoint, path);
        Map<?, ?> socket = object(field(object(field(object(field(e, "endpoint"), path + ".endpoint"), "address"),
            path + ".endpoint.address"), "socket_address"), path + ".endpoint.address.socket_address");
        String host = text(socket, path + ".endpoint.address.socket_address", "address");
        int port = complete(field(socket, "port_value"), path + ".endpoint.address.socket_address.port_value", 1, 65_535);
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
            throw new IllegalArgumentException(path + ".endpoint.address.socket_address.address is no IP address");
        }
        Map<?, ?> metadata = object(field(e, "metadata"), path + ".metadata");
        String place = path + ".metadata.filter_metadata." + METADATA;
        Map<?, ?> own = object(object(field(metadata, "filter_metadata"), path + ".metadata.filter_metadata")
            .get(METADATA), place);
        int shard = complete(own.get("shard"), place + ".shard", 0, shards - 1);
        double born = own.get("born_ms") instanceof Double d ? d : 0;
        Object health = field(e, "health_status");
        return new ResolvedEndpoint(new Endpoint(host + ':' + port, zone, shard, phase(health, path), born),
            new InetSocketAddress(host, port));
    }

    /** Only what is held healthy gets new work; the list is not asked to tell why another is not. */
    private static EndpointState phase(Object health, String path) {
        String word = health == null ? "UNKNOWN" : String.valueOf(health);
        return switch (word) {
            case "UNKNOWN", "HEALTHY", "DEGRADED" -> EndpointState.HEALTHY;
            case "DRAINING", "UNHEALTHY", "TIMEOUT" -> EndpointState.DRAINING;
            default -> throw new IllegalArgumentException(path + ".health_status is '" + word + "'");
        };
    }

    private static Map<?, ?> typed(Object resource, String path, String type) {
        Map<?, ?> map = object(resource, path);
        Object told = map.get("@type");
        if (told != null && !told.equals(type)) {
            throw new IllegalArgumentException(path + ".@type is '" + told + "'");
        }
        return map;
    }

    private static Object field(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null) {
            return value;
        }
        StringBuilder camel = new StringBuilder();
        for (String word : name.split("_")) {
            camel.append(camel.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
        }
        return map.get(camel.toString());
    }

    private static Map<?, ?> object(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException(path + " is missing or not an object");
    }

    private static List<?> list(Map<?, ?> map, String path, String name) {
        Object value = field(map, name);
        if (value == null) {
            return List.of();     // proto3 JSON leaves empty lists out
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException(path + "." + name + " is not a list");
    }

    private static String text(Map<?, ?> map, String path, String name) {
        if (field(map, name) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new IllegalArgumentException(path + "." + name + " is missing or not a text");
    }

    private static int complete(Object value, String path, int least, int most) {
        if (value instanceof Double d && d >= least && d <= most && d == Math.rint(d)) {
            return d.intValue();
        }
        throw new IllegalArgumentException(path + " must be a whole number from " + least + " to " + most);
    }
}
