package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.StringJoiner;

/** The object API's configuration file: that of deploy/objects.json with free ports. */
final class Gateway {
    private Gateway() {}

    static String endpoint(int port, int shard, String health) {
        return """
            {"endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": %d}}},
             "health_status": "%s", "metadata": {"filter_metadata": {"kelphollow": {"shard": %d}}}}""".formatted(port, health,
            shard);
    }

    static String assignment(String... endpoints) {
        StringJoiner list = new StringJoiner(",", "[", "]");
        for (String endpoint : endpoints) {
            list.add(endpoint);
        }
        return """
            {"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
             "cluster_name": "dump-store-endpoints",
             "endpoints": [{"locality": {"zone": "hall-a"}, "lb_endpoints": %s}]}""".formatted(list);
    }

    static String cluster() {
        return """
            {"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster", "name": "dump-store", "type": "EDS",
             "eds_cluster_config": {"service_name": "dump-store-endpoints"}}""";
    }

    /** The section xds of a list in the file itself. */
    static String inline(String... endpoints) {
        return "{\"cluster\": \"dump-store\", \"clusters\": [" + cluster() + "], \"endpoints\": [" + assignment(endpoints)
            + "]}";
    }

    /** {@code more} are further keys, each followed by a comma. */
    static void write(Path file, String listen, int shards, String xds, String more) throws IOException {
        Files.writeString(file, """
            {"name": "gateway-hall-a", "listen": "%s", %s
             "buckets": {"crash-dumps": {"plan": "prioritario", "gateways": 1}, "symbols": {"plan": "padrao", "gateways": 1}},
             "objects": {"shards": %d, "classes": {"read": "dump-read", "write": "dump-write", "large": "dump-export"},
              "bytes_per_unit": 1048576, "most_units": 6, "large_units": 4},
             "xds": %s,
             "settings": {
              "me": 0, "fleet_size": 1, "my_zone": "hall-a", "tick": 2.0, "discovery": "automatic",
              "ceilings": {"cancel": true, "most_tries": 3, "open_cap": 20000, "retry_after": true,
               "max_retry_after": 1000.0},
              "contract": {"drain_grace": 250.0, "cold_share": 0.18, "cold": 18000.0, "tip_multiple": 2.0, "fall": 1000.0},
              "extra": {"unit_mean": 2.0, "young_limit": 11.0, "share_worth": 0.35, "beyond_share": 0.05},
              "grades": [
               {"name": "padrao", "rate": 40.0, "reserve": 32.0, "proportion": 1.0, "value_factor": 0.9},
               {"name": "prioritario", "rate": 80.0, "reserve": 64.0, "proportion": 1.0, "value_factor": 1.4}],
              "request_classes": [
               {"name": "dump-read", "aim": 250.0, "deadline": 1200.0, "effect": "pure", "worth": 2.0, "late_share": 0.2},
               {"name": "dump-write", "aim": 500.0, "deadline": 3000.0, "effect": "side_effect", "worth": 2.0,
                "late_share": 0.1},
               {"name": "dump-export", "aim": 1500.0, "deadline": 5000.0, "effect": "pure", "worth": 1.0,
                "late_share": 0.3}]}}
            """.formatted(listen, more, shards, xds));
    }
}
