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
 * The {@code fleet} object of an operator's file, checked and with its defaults. Times in milliseconds.
 *
 * @param events where events go, or null for the log
 */
record FleetConfig(FleetOptions options, Path events) {
    private static final double STATE_TIME_TO_LIVE = 10_000;
    private static final double MIN_PERIODS_TO_LIVE = 4;
    private static final double RETRY_SHARE = 0.1;
    private static final double MIN_PERIOD = 20;
    private static final int MIN_KEY_LENGTH = 16;
    // Membership alone spends about 1,000 bytes a second; with less than twice that changes would hardly move.
    private static final double MIN_BYTES_PER_SECOND = 2_000;

    /** Reads it from the whole file; null where the file has no such object: the instance is in no fleet. */
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
            throw new ConfigurationException("fleet needs 'store': the numbers of this instance's lives are kept there");
        }
        String name = json.text("name");
        if (name.length() > MemberUpdate.MAX_NAME_LENGTH) {
            throw new ConfigurationException("name is longer than " + MemberUpdate.MAX_NAME_LENGTH + " characters");
        }
        Map<String, InetSocketAddress> peers = peers(fleet.section("peers"));
        double period = fleet.number("period_ms", MembershipSettings.DEFAULTS.protocolPeriod(), MIN_PERIOD);
        MembershipSettings membership = membership(fleet, period);
        FleetOptions options = new FleetOptions(name, fleet.address("listen"), peers, key(fleet.file("key_file")),
            membership, fleet.number("fades_ms", STATE_TIME_TO_LIVE, MIN_PERIODS_TO_LIVE * period), findings, shed,
            fleet.number("repeats", RETRY_SHARE, 0),
            DisseminationSettings.DEFAULTS.withBudget(fleet.number("bytes_per_second",
                DisseminationSettings.DEFAULTS.bytesPerSecond(), MIN_BYTES_PER_SECOND)));
        return new FleetConfig(options, fleet.has("events") ? fleet.file("events") : null);
    }

    private static Map<String, InetSocketAddress> peers(ConfigSection named) throws ConfigurationException {
        Map<String, InetSocketAddress> peers = new TreeMap<>();
        for (Map.Entry<?, ?> peer : named.values().entrySet()) {
            String key = named.key((String) peer.getKey());
            if (!(peer.getValue() instanceof String address)) {
                throw ConfigurationException.notText(key);
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
                    file + " holds fewer than " + MIN_KEY_LENGTH + " bytes");
            }
            return key;
        } catch (IOException e) {
            throw ConfigurationException.failed("fleet.key_file", StoreConfig.message(e));
        }
    }

    /** Opens where events go; blocks on the file, if there is one. */
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
