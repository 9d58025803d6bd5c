package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.protocol.object.ObjectOptions;

/**
 * The validated configuration file of a gateway for the object API, with defaults applied. Times in milliseconds.
 *
 * @param sockets number of file descriptors that the program may use
 * @param dialTimeout maximum time to establish a connection to a node
 * @param idleTime idle time after which a connection to a node is closed
 * @param stallTimeout maximum time without progress of a client or a body
 * @param store null if the instance keeps no state across restarts
 * @param management the management address, or null
 * @param fleet null if the instance is in no fleet
 */
record ObjectConfig(String name, InetSocketAddress listen, long seed, int sockets, int dialTimeout, double idleTime,
                    double stallTimeout, ControlSettings settings, ObjectOptions options, ClusterConfig cluster,
                    StoreConfig store, InetSocketAddress management, FleetConfig fleet) {
    private static final double DEFAULT_DIAL_TIMEOUT_MS = 250;
    private static final double DEFAULT_IDLE_TIME_MS = 12_000;
    private static final double DEFAULT_STALL_TIMEOUT_MS = 10_000;
    private static final double DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 16;
    private static final double DEFAULT_BYTES_PER_UNIT = 1 << 20;
    private static final double DEFAULT_MAX_UNITS = 6;
    private static final double DEFAULT_MAX_BODY_BYTES = 5L << 30;
    private static final double DEFAULT_MIN_BYTES_PER_SECOND = 256 * 1024;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double DEFAULT_MAX_NODE_HANG_MS = 25_000;
    private static final double DEFAULT_REMEMBERED_PARTS = 10_000;

    static ObjectConfig read(String file) throws ConfigurationException {
        return read(ConfigSection.readFile("--config", file));
    }

    static ObjectConfig read(ConfigSection json) throws ConfigurationException {
        json.allowOnly("name", "listen", "seed", "sockets", "dial_timeout_ms", "idle_ms", "stall_ms", "settings",
            "objects", "buckets", "xds", "store", "mgmt", "fleet");
        ControlSettings settings = SettingsConfig.read(json.section("settings").values());
        double stallTimeout = json.number("stall_ms", DEFAULT_STALL_TIMEOUT_MS, 1);
        ObjectOptions options = options(json, settings, stallTimeout);
        return new ObjectConfig(json.text("name"), json.address("listen"),
            ConfigSection.parseSeed(json.text("seed", "0")), (int) json.number("sockets", DEFAULT_SOCKETS, MIN_SOCKETS),
            (int) json.number("dial_timeout_ms", DEFAULT_DIAL_TIMEOUT_MS, 1),
            json.number("idle_ms", DEFAULT_IDLE_TIME_MS, 1), stallTimeout, settings, options, ClusterConfig.read(json,
                options.cells()), StoreConfig.read(json),
            json.has("mgmt") ? json.address("mgmt") : null, FleetConfig.read(json));
    }

    private static ObjectOptions options(ConfigSection json, ControlSettings settings, double stallTimeout)
        throws ConfigurationException {
        ConfigSection objects = json.section("objects");
        objects.allowOnly("shards", "classes", "bytes_per_unit", "most_units", "large_units", "largest_body",
            "slowest_bytes_per_second", "longest_node_hang_ms", "remembered_parts");
        int cells = (int) objects.number("shards", 1);
        ConfigSection classes = objects.section("classes");
        classes.allowOnly("read", "write", "large");
        double maxUnits = objects.number("most_units", DEFAULT_MAX_UNITS, 1);
        ObjectOptions.ClientClass read = clientClass(classes, "read", settings, true);
        return new ObjectOptions(buckets(json, settings), read, clientClass(classes, "write", settings, false),
            classes.has("large") ? clientClass(classes, "large", settings, true) : read,
            (long) objects.number("bytes_per_unit", DEFAULT_BYTES_PER_UNIT, 1), maxUnits,
            Math.min(maxUnits, settings.meanUnits()), objects.number("large_units", maxUnits, 1), cells,
            (long) objects.number("largest_body", DEFAULT_MAX_BODY_BYTES, 0),
            objects.number("slowest_bytes_per_second", DEFAULT_MIN_BYTES_PER_SECOND, 1) / MILLIS_PER_SECOND, stallTimeout,
            objects.number("longest_node_hang_ms", DEFAULT_MAX_NODE_HANG_MS, 0),
            (int) objects.number("remembered_parts", DEFAULT_REMEMBERED_PARTS, 1));
    }

    private static Map<String, ObjectOptions.Bucket> buckets(ConfigSection json, ControlSettings settings)
        throws ConfigurationException {
        Map<String, ObjectOptions.Bucket> buckets = new LinkedHashMap<>();
        ConfigSection named = json.section("buckets");
        for (Object key : named.values().keySet()) {
            String name = String.valueOf(key);
            ConfigSection bucket = named.section(name);
            bucket.allowOnly("plan", "gateways");
            if (!(bucket.value("plan") instanceof String plan)
                || settings.plans().stream().noneMatch(known -> known.name().equals(plan))) {
                throw new ConfigurationException(bucket.key("plan") + " is '" + bucket.value("plan")
                    + "', which is not a name in settings.grades");
            }
            buckets.put(name, new ObjectOptions.Bucket(plan,
                (int) bucket.number("gateways", (double) settings.instances(), 1)));
        }
        if (buckets.isEmpty()) {
            throw new ConfigurationException("buckets is empty");
        }
        return buckets;
    }

    /** Looks up a class in the settings and checks its idempotency: reads must be idempotent, writes must not be. */
    private static ObjectOptions.ClientClass clientClass(ConfigSection classes, String key, ControlSettings settings,
        boolean idempotent) throws ConfigurationException {
        Object name = classes.value(key);
        for (RequestClass known : settings.classes()) {
            if (known.name().equals(name)) {
                if ((known.idempotency() == Idempotency.IDEMPOTENT) != idempotent) {
                    throw new ConfigurationException(classes.key(key) + " is '" + name + "', which "
                        + (idempotent ? "is not idempotent: reads must be" : "is idempotent: writes must not be"));
                }
                return new ObjectOptions.ClientClass(known.name(), known.deadline());
            }
        }
        throw new ConfigurationException(classes.key(key) + " is '" + name
            + "', which is not a name in settings.request_classes");
    }
}
