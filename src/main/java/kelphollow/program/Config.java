package kelphollow.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import kelphollow.adapter.MalformedMessageException;
import kelphollow.adapter.SettingsReader;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.discovery.DiscoveryListParser;
import kelphollow.protocol.json.Json;

/** The one place where configuration is read, checked and given its defaults. Faults name their key. */
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
              int dialTimeout, double idleTime, DiscoveryList known, ControlSettings settings, Operations operations) {
    /**
     * What the operators reach and what the platform hands down: the management address (null: none) and whether
     * the clients' listening socket is inherited as descriptor 0 rather than opened.
     */
    record Operations(InetSocketAddress mgmt, boolean inherited) {
        static final Operations NONE = new Operations(null, false);
    }

    /** A fault in the configuration; the message names the key. */
    static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        Bad(String message) {
            super(message);
        }
    }

    // How the node list comes: pushed to an agent on this machine, or asked of one service for all schedulers.
    private static final java.util.List<String> LISTS = java.util.List.of("automatic", "subscribe");
    private static final int SOCKETS = 1024;
    private static final double DIAL_TIMEOUT = 250;
    private static final double IDLE_CLOSE = 15_000;
    // Part of the settings' idle time after which a connection is retired: the node's clock may run ahead of ours.
    private static final double IDLE_PART = 0.8;

    /** Reads the file that {@code GW_CONFIG} names; single variables stand in for keys that it lacks. */
    static Config platform(Map<String, String> environment) throws Bad {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new Bad("GW_CONFIG is not set");
        }
        Map<?, ?> json = readFile("GW_CONFIG", file);
        Map<?, ?> settings = object(json, "settings");
        Map<?, ?> ceilings = settings.get("ceilings") instanceof Map<?, ?> m ? m : Map.of();
        Map<?, ?> limits = json.get("limits") instanceof Map<?, ?> m ? m : Map.of();
        return new Config(word(json, "name", environment.get("GW_NAME")),
            address(word(json, "listen", environment.get("GW_LISTEN")), "listen"),
            address(word(json, "discovery", environment.get("GW_DISCOVERY")), "discovery"),
            seed(word(json, "seed", "0")), (int) number(limits, "limits.", "sockets", SOCKETS, 16),
            (int) number(ceilings, "settings.ceilings.", "dial_timeout", DIAL_TIMEOUT, 1),
            IDLE_PART * number(ceilings, "settings.ceilings.", "idle_close", IDLE_CLOSE, 1), known(json),
            settings(settings), operations(json, environment));
    }

    static Operations operations(Map<?, ?> json, Map<String, String> environment) throws Bad {
        String mgmt = json.get("mgmt") != null ? word(json, "mgmt", null) : environment.get("GW_MGMT");
        String fd = environment.get("GW_SOCKET_FD");
        if (fd != null && !fd.strip().equals("0")) {
            throw new Bad("GW_SOCKET_FD: '" + fd + "'; only descriptor 0 can be taken over");
        }
        return new Operations(mgmt == null || mgmt.isEmpty() ? null : address(mgmt, "mgmt"), fd != null);
    }

    static Map<?, ?> readFile(String key, String file) throws Bad {
        try {
            if (Json.parse(Files.readString(Path.of(file))) instanceof Map<?, ?> map) {
                return map;
            }
            throw new Bad(key + ": " + file + " holds no JSON object");
        } catch (IOException e) {
            throw new Bad(key + ": " + file + ": " + e.getMessage());
        }
    }

    static ControlSettings settings(Map<?, ?> map) throws Bad {
        for (String key : new String[] {"request_classes", "grades"}) {
            if (!(map.get(key) instanceof java.util.List<?> list) || list.isEmpty()) {
                throw new Bad("settings." + key + " is missing or empty");
            }
        }
        for (String key : new String[] {"ceilings", "contract", "extra"}) {
            object(map, "settings.", key);
        }
        if (!(map.get("discovery") instanceof String mode) || !LISTS.contains(mode)) {
            throw new Bad("settings.discovery" + (map.get("discovery") == null ? " is missing"
                : " is '" + map.get("discovery") + "'") + "; it is one of " + String.join(", ", LISTS));
        }
        java.util.List<?> classes = (java.util.List<?>) map.get("request_classes");
        for (int i = 0; i < classes.size(); i++) {
            String at = "settings.request_classes[" + i + "].";
            if (!(classes.get(i) instanceof Map<?, ?> c)) {
                throw new Bad(at.substring(0, at.length() - 1) + " is not an object");
            }
            if (!(c.get("name") instanceof String name) || name.isEmpty()) {
                throw new Bad(at + "name" + (c.get("name") == null ? " is missing" : " is not a text"));
            }
            for (String key : new String[] {"deadline", "aim"}) {
                if (!(c.get(key) instanceof Double d) || !(d > 0)) {
                    throw new Bad(at + key + (c.get(key) == null ? " is missing" : " must be a number above 0"));
                }
            }
        }
        for (Object item : classes) {
            Map<?, ?> c = (Map<?, ?>) item;
            String at = "settings.request_classes[" + classes.indexOf(item) + "].";
            optional(c, at, "worth", "late_share", "window");
            texts(c, at, "effect", "dedup_scope");
            if ("token".equals(c.get("effect"))) {
                number(c, at, "window", Double.NaN, 0);
                word(c, "dedup_scope", null);
            }
        }
        for (Object item : (java.util.List<?>) map.get("grades")) {
            if (!(item instanceof Map<?, ?> plan)) {
                throw new Bad("settings.grades holds what is not an object");
            }
            optional(plan, "settings.grades.", "reserve", "proportion", "value_factor", "ceiling_rate", "limit_burst",
                "tolerance");
        }
        optional(object(map, "settings.", "ceilings"), "settings.ceilings.", "open_cap", "max_retry_after");
        optional(object(map, "settings.", "contract"), "settings.contract.", "cold_share", "cold", "tip_multiple", "fall",
            "key_rest", "extra_floor", "extra_ratio", "counted_over", "ask_every");
        optional(object(map, "settings.", "extra"), "settings.extra.", "young_limit", "unit_mean", "share_worth",
            "beyond_share");
        optional(map, "settings.", "me", "tick");
        number(map, "settings.", "fleet_size", Double.NaN, 1);
        number(object(map, "settings.", "ceilings"), "settings.ceilings.", "most_tries", Double.NaN, 1);
        number(object(map, "settings.", "contract"), "settings.contract.", "drain_grace", Double.NaN, 0);
        try {
            ControlSettings settings = SettingsReader.read(map);
            new kelphollow.decision.Control(settings, 0, 0);   // the module checks the rest
            return settings;
        } catch (MalformedMessageException | IllegalArgumentException e) {
            throw new Bad(e.getMessage().startsWith("settings") ? e.getMessage() : "settings: " + e.getMessage());
        }
    }

    private static DiscoveryList known(Map<?, ?> json) throws Bad {
        if (json.get("known") == null) {
            return new DiscoveryList(-1, true, java.util.List.of());
        }
        try {
            return DiscoveryListParser.parse(json.get("known"));
        } catch (IllegalArgumentException e) {
            throw new Bad("known: " + e.getMessage());
        }
    }

    static long seed(String hex) throws Bad {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new Bad("seed: '" + hex + "' is not a number of up to 16 hex digits");
        }
    }

    static InetSocketAddress address(String text, String key) throws Bad {
        try {
            return DiscoveryListParser.parseAddress(text, key);
        } catch (IllegalArgumentException e) {
            throw new Bad(e.getMessage());
        }
    }

    /** A key that nobody reads is most likely one misspelt. */
    static void known(Map<?, ?> map, String path, String... keys) throws Bad {
        for (Object key : map.keySet()) {
            if (!java.util.List.of(keys).contains(key)) {
                throw new Bad(path + key + " is not known");
            }
        }
    }

    static Map<?, ?> object(Map<?, ?> map, String key) throws Bad {
        return object(map, "", key);
    }

    static Map<?, ?> object(Map<?, ?> map, String path, String key) throws Bad {
        if (map.get(key) instanceof Map<?, ?> value) {
            return value;
        }
        throw new Bad(path + key + " is missing or not an object");
    }

    static String word(Map<?, ?> map, String key, String absent) throws Bad {
        Object value = map.get(key) == null ? absent : map.get(key);
        if (value instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new Bad(key + (value == null ? " is missing" : " is not a text"));
    }

    /** Keys that may be missing, since not every site has them, but are numbers of at least 0 where they are there. */
    private static void optional(Map<?, ?> map, String path, String... keys) throws Bad {
        for (String key : keys) {
            number(map, path, key, 0, 0);
        }
    }

    private static void texts(Map<?, ?> map, String path, String... keys) throws Bad {
        for (String key : keys) {
            if (map.get(key) != null && !(map.get(key) instanceof String)) {
                throw new Bad(path + key + " is not a text");
            }
        }
    }

    static double number(Map<?, ?> map, String path, String key, double absent, double least) throws Bad {
        Object value = map.get(key) == null ? (Double) absent : map.get(key);
        if (value instanceof Double d && d >= least) {
            return d;
        }
        throw new Bad(path + key + (map.get(key) == null ? " is missing" : " must be a number of at least " + least));
    }
}
