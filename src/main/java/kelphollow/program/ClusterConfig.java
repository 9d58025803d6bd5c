package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.List;
import kelphollow.protocol.xds.XdsResourceParser;
import kelphollow.routing.ResolvedEndpoint;

/** The {@code xds} object of an operator's file, checked: where the endpoints of the object servers come from. */
sealed interface ClusterConfig {
    /** They stand in the file. */
    record Inline(List<ResolvedEndpoint> endpoints) implements ClusterConfig {}

    /** They are polled by REST, every {@code refreshInterval} milliseconds. */
    record Polled(String cluster, InetSocketAddress server, double refreshInterval) implements ClusterConfig {}

    /** In milliseconds. */
    double DEFAULT_REFRESH_INTERVAL = 100;

    /** Reads it from the whole file. */
    static ClusterConfig read(ConfigSection json, int cells) throws ConfigurationException {
        ConfigSection xds = json.section("xds");
        xds.allowOnly("cluster", "clusters", "endpoints", "server", "refresh_ms");
        if (!(xds.value("cluster") instanceof String cluster)) {
            throw new ConfigurationException("xds.cluster is missing or not a text");
        }
        if (xds.value("server") instanceof String server) {
            return new Polled(cluster, ConfigSection.parseAddress(server, "xds.server"),
                xds.number("refresh_ms", DEFAULT_REFRESH_INTERVAL, 1));
        }
        if (!(xds.value("clusters") instanceof List<?> clusters)) {
            throw new ConfigurationException("xds needs 'server', or 'clusters' with 'endpoints'");
        }
        try {
            XdsResourceParser.Cluster found = XdsResourceParser.cluster(clusters, cluster, cells);
            List<?> endpoints = xds.value("endpoints") instanceof List<?> list ? list : List.of();
            return new Inline(found.inline() != null ? found.inline()
                : XdsResourceParser.endpoints(endpoints, found.serviceName(), cells));
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("xds." + e.getMessage());
        }
    }
}
