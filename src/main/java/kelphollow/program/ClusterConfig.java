package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.List;
import kelphollow.protocol.xds.XdsResourceParser;
import kelphollow.routing.ResolvedEndpoint;

/** The validated {@code xds} section of a gateway's configuration file: the source of the object servers' endpoints. */
sealed interface ClusterConfig {
    /** Endpoints listed in the file itself. */
    record Inline(List<ResolvedEndpoint> endpoints) implements ClusterConfig {}

    /** Endpoints polled from an xDS server by REST, every {@code refreshInterval} milliseconds. */
    record Polled(String cluster, InetSocketAddress server, double refreshInterval) implements ClusterConfig {}

    /** In milliseconds. */
    double DEFAULT_REFRESH_INTERVAL = 100;

    /** Reads the {@code xds} section of the parsed file {@code json}. */
    static ClusterConfig read(ConfigSection json, int shards) throws ConfigurationException {
        ConfigSection xds = json.section("xds");
        xds.allowOnly("cluster", "clusters", "endpoints", "server", "refresh_ms");
        if (!(xds.value("cluster") instanceof String cluster)) {
            throw new ConfigurationException("xds.cluster is missing or not a string");
        }
        if (xds.value("server") instanceof String server) {
            return new Polled(cluster, ConfigSection.parseAddress(server, "xds.server"),
                xds.number("refresh_ms", DEFAULT_REFRESH_INTERVAL, 1));
        }
        if (!(xds.value("clusters") instanceof List<?> clusters)) {
            throw new ConfigurationException("xds needs 'server', or 'clusters' with 'endpoints'");
        }
        try {
            XdsResourceParser.Cluster found = XdsResourceParser.cluster(clusters, cluster, shards);
            List<?> endpoints = xds.value("endpoints") instanceof List<?> list ? list : List.of();
            return new Inline(found.inline() != null ? found.inline()
                : XdsResourceParser.endpoints(endpoints, found.serviceName(), shards));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("xds." + e.getMessage());
        }
    }
}
