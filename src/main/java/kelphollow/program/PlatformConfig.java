package kelphollow.program;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.protocol.discovery.DiscoveryList;
import kelphollow.protocol.discovery.DiscoveryListParser;

/**
 * The validated configuration from the platform, with defaults applied. Times in milliseconds.
 *
 * @param sockets number of file descriptors that the program may use
 * @param dialTimeout maximum time to establish a connection to a node
 * @param idleTime idle time after which a connection to a node is closed
 * @param known endpoints used until discovery responds
 */
record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                      int dialTimeout, double idleTime, DiscoveryList known, ControlSettings settings,
                      Operations operations) {
    /**
     * The management address and the inherited socket.
     *
     * @param management the management address, or null
     * @param inheritsSocket whether the clients' listening socket is inherited as descriptor 0 rather than opened
     */
    record Operations(InetSocketAddress management, boolean inheritsSocket) {
        static final Operations NONE = new Operations(null, false);
    }

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 16;
    private static final double DEFAULT_DIAL_TIMEOUT_MS = 250;
    private static final double DEFAULT_IDLE_CLOSE_MS = 15_000;
    // Connections are closed after this part of the node's own idle timeout, as the node's clock may run faster than ours.
    private static final double IDLE_CLOSE_RATIO = 0.8;

    /** Reads the file named by {@code GW_CONFIG}; other variables replace keys that are missing from it. */
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
            (int) json.sectionOrEmpty("limits").number("sockets", DEFAULT_SOCKETS, MIN_SOCKETS),
            (int) ceilings.number("dial_timeout", DEFAULT_DIAL_TIMEOUT_MS, 1),
            IDLE_CLOSE_RATIO * ceilings.number("idle_close", DEFAULT_IDLE_CLOSE_MS, 1), known(json),
            SettingsConfig.read(settings.values()), operations(json, environment));
    }

    private static InetSocketAddress address(ConfigSection json, String key, String defaultValue)
        throws ConfigurationException {
        return ConfigSection.parseAddress(json.text(key, defaultValue), key);
    }

    private static Operations operations(ConfigSection json, Map<String, String> environment)
        throws ConfigurationException {
        String management = json.has("mgmt") ? json.text("mgmt") : environment.get("GW_MGMT");
        String descriptor = environment.get("GW_SOCKET_FD");
        if (descriptor != null && !descriptor.strip().equals("0")) {
            throw ConfigurationException.unusable("GW_SOCKET_FD", descriptor, "; only descriptor 0 can be inherited");
        }
        boolean hasManagement = management != null && !management.isEmpty();
        return new Operations(hasManagement ? ConfigSection.parseAddress(management, "mgmt") : null, descriptor != null);
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
