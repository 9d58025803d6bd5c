package kelphollow.protocol.xds;

import static kelphollow.protocol.xds.ProtoJson.field;
import static kelphollow.protocol.xds.ProtoJson.list;
import static kelphollow.protocol.xds.ProtoJson.message;
import static kelphollow.protocol.xds.ProtoJson.text;

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
 * Parses Envoy's Cluster and ClusterLoadAssignment in proto3 JSON into an endpoint list. An invalid resource throws {@link
 * IllegalArgumentException} with the path of the field, and nothing of it is used. Stateless.
 */
public final class XdsResourceParser {
    /** Type URL of a cluster. */
    public static final String CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
    /** Type URL of the endpoints of a cluster. */
    public static final String ASSIGNMENT = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    /** Metadata namespace of an endpoint that holds its shard and, if known, when it last started. */
    private static final String METADATA_NAMESPACE = "kelphollow";
    private static final int MAX_PORT = 65_535;

    private XdsResourceParser() {}

    /**
     * A cluster.
     *
     * @param name name of the cluster
     * @param serviceName name under which its endpoints are requested
     * @param inline endpoints that the cluster resource contains, or null
     */
    public record Cluster(String name, String serviceName, List<ResolvedEndpoint> inline) {}

    /** Finds the named cluster among resources; {@code shards} is the number of shards. */
    public static Cluster cluster(List<?> resources, String wanted, int shards) {
        for (int i = 0; i < resources.size(); i++) {
            String path = "clusters[" + i + "]";
            Map<?, ?> cluster = resource(resources.get(i), path, CLUSTER);
            String name = text(cluster, path, "name");
            if (name.equals(wanted)) {
                Object inline = field(cluster, "load_assignment");
                return new Cluster(name, serviceName(cluster, name),
                    inline == null ? null : endpoints(inline, path + ".load_assignment", shards));
            }
        }
        throw new IllegalArgumentException("clusters: no cluster named '" + wanted + "'");
    }

    private static String serviceName(Map<?, ?> cluster, String name) {
        return field(cluster, "eds_cluster_config") instanceof Map<?, ?> config
            && field(config, "service_name") instanceof String service && !service.isEmpty() ? service : name;
    }

    /** Finds the endpoints of a cluster among resources; {@code shards} is the number of shards. */
    public static List<ResolvedEndpoint> endpoints(List<?> resources, String service, int shards) {
        for (int i = 0; i < resources.size(); i++) {
            String path = "endpoints[" + i + "]";
            Map<?, ?> assignment = resource(resources.get(i), path, ASSIGNMENT);
            if (text(assignment, path, "cluster_name").equals(service)) {
                return endpoints(assignment, path, shards);
            }
        }
        throw new IllegalArgumentException("endpoints: no ClusterLoadAssignment for '" + service + "'");
    }

    private static List<ResolvedEndpoint> endpoints(Object assignment, String path, int shards) {
        if (!(assignment instanceof Map<?, ?> map)) {
            throw new IllegalArgumentException(path + " is not an object");
        }
        List<ResolvedEndpoint> found = new ArrayList<>();
        Set<String> names = new HashSet<>();
        List<?> localities = list(map, path, "endpoints");
        for (int i = 0; i < localities.size(); i++) {
            String localityPath = path + ".endpoints[" + i + "]";
            if (!(localities.get(i) instanceof Map<?, ?> locality)) {
                throw new IllegalArgumentException(localityPath + " is not an object");
            }
            addEndpoints(locality, localityPath, shards, names, found);
        }
        return found;
    }

    private static void addEndpoints(Map<?, ?> locality, String path, int shards, Set<String> names,
        List<ResolvedEndpoint> found) {
        String zone = field(locality, "locality") instanceof Map<?, ?> place && field(place, "zone") instanceof String name
            ? name : null;
        List<?> endpoints = list(locality, path, "lb_endpoints");
        for (int i = 0; i < endpoints.size(); i++) {
            ResolvedEndpoint endpoint = endpoint(endpoints.get(i), path + ".lb_endpoints[" + i + "]", zone, shards);
            if (!names.add(endpoint.endpoint().node())) {
                throw new IllegalArgumentException(path + ": " + endpoint.endpoint().node() + " is there twice");
            }
            found.add(endpoint);
        }
    }

    private static ResolvedEndpoint endpoint(Object value, String path, String zone, int shards) {
        Map<?, ?> endpoint = message(value, path);
        String socketPath = path + ".endpoint.address.socket_address";
        Map<?, ?> socket = socketAddress(endpoint, path);
        String host = text(socket, socketPath, "address");
        int port = ProtoJson.integer(field(socket, "port_value"), socketPath + ".port_value", 1, MAX_PORT);
        if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
            throw new IllegalArgumentException(socketPath + ".address is no IP address");
        }
        String metadataPath = path + ".metadata.filter_metadata." + METADATA_NAMESPACE;
        Map<?, ?> metadata = message(message(field(message(field(endpoint, "metadata"), path + ".metadata"),
            "filter_metadata"), path + ".metadata.filter_metadata").get(METADATA_NAMESPACE), metadataPath);
        int shard = ProtoJson.integer(metadata.get("shard"), metadataPath + ".shard", 0, shards - 1);
        double startedAt = metadata.get("born_ms") instanceof Double time ? time : 0;
        EndpointState state = state(field(endpoint, "health_status"), path);
        return new ResolvedEndpoint(new Endpoint(host + ':' + port, zone, shard, state, startedAt),
            new InetSocketAddress(host, port));
    }

    private static Map<?, ?> socketAddress(Map<?, ?> endpoint, String path) {
        Map<?, ?> inner = message(field(endpoint, "endpoint"), path + ".endpoint");
        Map<?, ?> address = message(field(inner, "address"), path + ".endpoint.address");
        return message(field(address, "socket_address"), path + ".endpoint.address.socket_address");
    }

    /** Only healthy endpoints accept new requests; the reason why others do not is ignored. */
    private static EndpointState state(Object health, String path) {
        String status = health == null ? "UNKNOWN" : String.valueOf(health);
        return switch (status) {
            case "UNKNOWN", "HEALTHY", "DEGRADED" -> EndpointState.HEALTHY;
            case "DRAINING", "UNHEALTHY", "TIMEOUT" -> EndpointState.DRAINING;
            default -> throw new IllegalArgumentException(path + ".health_status is '" + status
                + "', which is not a known status");
        };
    }

    private static Map<?, ?> resource(Object value, String path, String type) {
        Map<?, ?> resource = message(value, path);
        Object found = resource.get("@type");
        if (found != null && !found.equals(type)) {
            throw new IllegalArgumentException(path + ".@type is '" + found + "', expected '" + type + "'");
        }
        return resource;
    }
}
