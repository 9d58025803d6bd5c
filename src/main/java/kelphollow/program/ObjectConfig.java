package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.protocol.object.ObjectFront;
import kelphollow.protocol.xds.XdsClusters;
import kelphollow.routing.ResolvedEndpoint;

/** An operator's file for the object front, checked and with its defaults. Times are milliseconds. */
record ObjectConfig(String name, InetSocketAddress listen, long seed, int sockets, int dialTimeout, double idleTime,
                    double stall, ControlSettings settings, ObjectFront.Options options, Xds xds, StoreConfig store,
                    InetSocketAddress mgmt, FleetConfig fleet) {
    /** Where the cluster comes from: {@code inline} from the file, or by REST from {@code server}. */
    record Xds(String cluster, List<ResolvedEndpoint> inline, InetSocketAddress server, double refresh) {}

    private static final double DIAL_TIMEOUT = 250;
    private static final double IDLE_TIME = 12_000;
    private static final double STALL = 10_000;
    private static final double SOCKETS = 1024;
    private static final double BYTES_PER_UNIT = 1 << 20;
    private static final double LARGEST_BODY = 5L << 30;
    private static final double SLOWEST_PER_SECOND = 256 * 1024;
    private static final double PARTS = 10_000;
    private static final double REFRESH = 100;

    static ObjectConfig read(String file) throws Config.Bad {
        return read(Config.readFile("--config", file));
    }

    static ObjectConfig read(Map<?, ?> json) throws Config.Bad {
        Config.known(json, "", "name", "listen", "seed", "sockets", "dial_timeout_ms", "idle_ms", "stall_ms", "settings",
            "objects", "buckets", "xds", "store", "mgmt", "fleet");
        ControlSettings settings = Config.settings(Config.object(json, "settings"));
        double stall = Config.number(json, "", "stall_ms", STALL, 1);
        Map<?, ?> objects = Config.object(json, "objects");
        Config.known(objects, "objects.", "shards", "classes", "bytes_per_unit", "most_units", "large_units", "largest_body",
            "slowest_bytes_per_second", "remembered_parts");
        int shards = (int) Config.number(objects, "objects.", "shards", Double.NaN, 1);
        Map<?, ?> classes = Config.object(objects, "objects.", "classes");
        Config.known(classes, "objects.classes.", "read", "write", "large");
        double mostUnits = Config.number(objects, "objects.", "most_units", 6, 1);
        ObjectFront.Kind read = kind(classes, "read", settings, true);
        ObjectFront.Options options = new ObjectFront.Options(buckets(json, settings), read,
            kind(classes, "write", settings, false),
            classes.get("large") == null ? read : kind(classes, "large", settings, true),
            (long) Config.number(objects, "objects.", "bytes_per_unit", BYTES_PER_UNIT, 1), mostUnits,
            Math.min(mostUnits, settings.meanUnits()),
            Config.number(objects, "objects.", "large_units", mostUnits, 1), shards,
            (long) Config.number(objects, "objects.", "largest_body", LARGEST_BODY, 0),
            Config.number(objects, "objects.", "slowest_bytes_per_second", SLOWEST_PER_SECOND, 1) / 1000, stall,
            (int) Config.number(objects, "objects.", "remembered_parts", PARTS, 1));
        return new ObjectConfig(Config.word(json, "name", null),
            Config.address(Config.word(json, "listen", null), "listen"),
            Config.seed(Config.word(json, "seed", "0")), (int) Config.number(json, "", "sockets", SOCKETS, 16),
            (int) Config.number(json, "", "dial_timeout_ms", DIAL_TIMEOUT, 1),
            Config.number(json, "", "idle_ms", IDLE_TIME, 1), stall, settings, options, xds(json, shards),
            StoreConfig.read(json), json.get("mgmt") == null ? null : Config.address(Config.word(json, "mgmt", null),
                "mgmt"),
            FleetConfig.read(json));
    }

    private static Map<String, ObjectFront.Bucket> buckets(Map<?, ?> json, ControlSettings settings) throws Config.Bad {
        Map<String, ObjectFront.Bucket> buckets = new LinkedHashMap<>();
        Map<?, ?> told = Config.object(json, "buckets");
        for (Object name : told.keySet()) {
            String path = "buckets." + name + ".";
            Map<?, ?> bucket = Config.object(told, "buckets.", String.valueOf(name));
            Config.known(bucket, path, "plan", "gateways");
            if (!(bucket.get("plan") instanceof String plan)
                || settings.plans().stream().noneMatch(p -> p.name().equals(plan))) {
                throw new Config.Bad(path + "plan is '" + bucket.get("plan") + "', which settings.grades does not name");
            }
            buckets.put(String.valueOf(name), new ObjectFront.Bucket(plan,
                (int) Config.number(bucket, path, "gateways", (double) settings.hosts(), 1)));
        }
        if (buckets.isEmpty()) {
            throw new Config.Bad("buckets is empty");
        }
        return buckets;
    }

    private static ObjectFront.Kind kind(Map<?, ?> classes, String key, ControlSettings settings, boolean safe)
        throws Config.Bad {
        for (RequestClass c : settings.classes()) {
            if (c.name().equals(classes.get(key))) {
                boolean isSafe = c.idempotency() == ControlSettings.Idempotency.IDEMPOTENT;
                if (isSafe != safe) {
                    throw new Config.Bad("objects.classes." + key + " is '" + c.name() + "', which "
                        + (safe ? "may not be repeated" : "may be repeated freely: writes must not"));
                }
                return new ObjectFront.Kind(c.name(), c.deadline());
            }
        }
        throw new Config.Bad("objects.classes." + key + " is '" + classes.get(key)
            + "', which settings.request_classes does not name");
    }

    private static Xds xds(Map<?, ?> json, int shards) throws Config.Bad {
        Map<?, ?> xds = Config.object(json, "xds");
        Config.known(xds, "xds.", "cluster", "clusters", "endpoints", "server", "refresh_ms");
        if (!(xds.get("cluster") instanceof String cluster)) {
            throw new Config.Bad("xds.cluster is missing or not a text");
        }
        if (xds.get("server") instanceof String server) {
            return new Xds(cluster, null, Config.address(server, "xds.server"),
                Config.number(xds, "xds.", "refresh_ms", REFRESH, 1));
        }
        if (!(xds.get("clusters") instanceof List<?> clusters)) {
            throw new Config.Bad("xds needs 'server', or 'clusters' with 'endpoints'");
        }
        try {
            XdsClusters.Cluster found = XdsClusters.cluster(clusters, cluster, shards);
            List<?> endpoints = xds.get("endpoints") instanceof List<?> e ? e : List.of();
            List<ResolvedEndpoint> members = found.inline() != null ? found.inline()
                : XdsClusters.endpoints(endpoints, found.serviceName(), shards);
            return new Xds(cluster, members, null, 0);
        } catch (IllegalArgumentException e) {
            throw new Config.Bad("xds." + e.getMessage());
        }
    }
}
