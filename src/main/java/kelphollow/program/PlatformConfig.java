package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.discovery.DiscoveryListParser;

/**
 * The platform's configuration, checked and with its defaults. Times in milliseconds.
 *
 * @param sockets descriptors that the program may use
 * @param dialTimeout how long a connection to a node may take to come up
 * @param idleTime after which a connection to a node is retired
 * @param known endpoints to start from
 */
record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                      int dialTimeout, double idleTime, DiscoveryList known, ControlSettings settings,
                      Operations operations) {
    /**
     * What the operators reach and what the platform hands down.
     *
     * @param management the management address, or null
     * @param inheritsSocket whether the clients' listening socket is inherited as descriptor 0 rather than opened
     */
    record Operations(InetSocketAddress management, boolean inheritsSocket) {
        static final Operations NONE = new Operations(null, false);
    }

    private static final int SOCKETS = 1024;
    private static final int MIN_SOCKETS = 16;
    private static final double DIAL_TIMEOUT = 250;
    private static final double IDLE_CLOSE = 15_000;
    // Part of the settings' idle time after which a connection is retired: the node's clock may run ahead of ours.
    private static final double IDLE_PART = 0.8;

    /** Reads the file that {@code GW_CONFIG} names; single variables stand in for keys that it lacks. */
    static PlatformConfig read(Map<String, String> environment) throws ConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new ConfigurationException("GW_CONFIG is not set");
        }
        ConfigSection json = ConfigSection.readFile("GW_CONFIG", file);
        ConfigSection settings = json.section("settings");
        ConfigSection ceilings = settings.sectionOrEmpty("ceilings");
        return new PlatformConfig(json.text("name", environment.get("GW_NAME")),
            address(json, "listen", environment.get("GW_LISTEN")),
            address(json, "discovery", environment.get("GW_DISCOVERY")),
            ConfigSection.parseSeed(json.text("seed", "0")),
            (int) json.sectionOrEmpty("limits").number("sockets", SOCKETS, MIN_SOCKETS),
            (int) ceilings.number("dial_timeout", DIAL_TIMEOUT, 1),
            IDLE_PART * ceilings.number("idle_close", IDLE_CLOSE, 1), known(json),
            SettingsConfig.read(settings.values()), operations(json, environment));
    }

    private static InetSocketAddress address(ConfigSection json, String key, String absent) throws ConfigurationException {
        return ConfigSection.parseAddress(json.text(key, absent), key);
    }

    private static Operations operations(ConfigSection json, Map<String, String> environment)
        throws ConfigurationException {
        String management = json.has("mgmt") ? json.text("mgmt") : environment.get("GW_MGMT");
        String descriptor = environment.get("GW_SOCKET_FD");
        if (descriptor != null && !descriptor.strip().equals("0")) {
            throw ConfigurationException.unusable("GW_SOCKET_FD", descriptor, "; only descriptor 0 can be taken over");
        }
        boolean isManaged = management != null && !management.isEmpty();
        return new Operations(isManaged ? ConfigSection.parseAddress(management, "mgmt") : null, descriptor != null);
    }

    private static DiscoveryList known(ConfigSection json) throws ConfigurationException {
        if (!json.has("known")) {
            return new DiscoveryList(-1, true, List.of());
        }
        try {
            return DiscoveryListParser.parse(json.value("known"));
        } catch (IllegalArgumentException e) {
            throw ConfigurationException.failed("known", e.getMessage());
        }
    }
}
