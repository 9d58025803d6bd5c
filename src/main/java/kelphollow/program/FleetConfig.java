package kelphollow.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.FileHandler;
import java.util.logging.Level;
import kelphollow.dissemination.DisseminationSettings;
import kelphollow.fleet.EventLog;
import kelphollow.fleet.FleetOptions;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.MembershipSettings;

/**
 * The validated {@code fleet} section of a gateway's configuration file, with defaults applied. Times in milliseconds.
 *
 * @param events the file that events are written to, or null to write them to the log
 */
record FleetConfig(FleetOptions options, Path events) {
    private static final double DEFAULT_STATE_TTL_MS = 10_000;
    private static final double MIN_STATE_TTL_PERIODS = 4;
    private static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final double MIN_PERIOD_MS = 20;
    private static final int MIN_KEY_LENGTH = 16;
    // Membership alone uses about 1,000 bytes a second; below twice that, state changes would hardly spread.
    private static final double MIN_BYTES_PER_SECOND = 2_000;

    /** Reads the section from the parsed file; null if it is missing, in which case the instance is in no fleet. */
    static FleetConfig read(ConfigSection json) throws ConfigurationException {
        if (!json.has("fleet")) {
            return null;
        }
        ConfigSection fleet = json.section("fleet");
        fleet.allowOnly("listen", "peers", "key_file", "period_ms", "fades_ms", "members", "events", "findings", "repeats",
            "shed", "bytes_per_second");
        boolean findings = fleet.flag("findings", true);
        boolean shed = fleet.flag("shed", true);
        if (!json.has("store")) {
            throw new ConfigurationException("fleet needs 'store', which keeps this instance's epoch");
        }
        String name = json.text("name");
        if (name.length() > MemberUpdate.MAX_NAME_LENGTH) {
            throw new ConfigurationException("name has " + name.length() + " characters, must be at most "
                + MemberUpdate.MAX_NAME_LENGTH);
        }
        Map<String, InetSocketAddress> peers = peers(fleet.section("peers"));
        double period = fleet.number("period_ms", MembershipSettings.DEFAULTS.protocolPeriod(), MIN_PERIOD_MS);
        MembershipSettings membership = membership(fleet, period);
        FleetOptions options = new FleetOptions(name, fleet.address("listen"), peers, key(fleet.file("key_file")),
            membership, fleet.number("fades_ms", DEFAULT_STATE_TTL_MS, MIN_STATE_TTL_PERIODS * period), findings, shed,
            fleet.number("repeats", DEFAULT_RETRY_SHARE, 0),
            DisseminationSettings.DEFAULTS.withBudget(fleet.number("bytes_per_second",
                DisseminationSettings.DEFAULTS.bytesPerSecond(), MIN_BYTES_PER_SECOND)));
        return new FleetConfig(options, fleet.has("events") ? fleet.file("events") : null);
    }

    private static Map<String, InetSocketAddress> peers(ConfigSection named) throws ConfigurationException {
        Map<String, InetSocketAddress> peers = new TreeMap<>();
        for (Map.Entry<?, ?> peer : named.values().entrySet()) {
            String key = named.key((String) peer.getKey());
            if (!(peer.getValue() instanceof String address)) {
                throw ConfigurationException.notString(key);
            }
            peers.put((String) peer.getKey(), ConfigSection.parseAddress(address, key));
        }
        return peers;
    }

    private static MembershipSettings membership(ConfigSection fleet, double period) throws ConfigurationException {
        int members = (int) fleet.number("members", (double) MembershipSettings.DEFAULTS.maxMembers(), 2);
        return MembershipSettings.DEFAULTS.withProtocolPeriod(period).withMaxMembers(members);
    }

    private static byte[] key(Path file) throws ConfigurationException {
        try {
            byte[] key = Files.readAllBytes(file);
            if (new String(key, StandardCharsets.ISO_8859_1).strip().length() < MIN_KEY_LENGTH) {
                throw ConfigurationException.failed("fleet.key_file",
                    file + " must hold at least " + MIN_KEY_LENGTH + " bytes");
            }
            return key;
        } catch (IOException e) {
            throw ConfigurationException.failed("fleet.key_file", StoreConfig.message(e));
        }
    }

    /** Opens the event log; blocks on file access if events are written to a file. */
    EventLog openEvents() throws ConfigurationException {
        try {
            if (events == null) {
                return new EventLog(null);
            }
            FileHandler handler = new FileHandler(events.toString().replace("%", "%%"), true);
            handler.setLevel(Level.INFO);
            return new EventLog(handler);
        } catch (IOException e) {
            throw ConfigurationException.failed("fleet.events", StoreConfig.message(e));
        }
    }
}
