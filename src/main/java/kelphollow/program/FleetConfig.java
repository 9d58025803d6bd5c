package kelphollow.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.FileHandler;
import java.util.logging.Level;
import kelphollow.dissemination.Dissemination;
import kelphollow.fleet.Events;
import kelphollow.fleet.Fleet;
import kelphollow.membership.MemberUpdate;
import kelphollow.membership.Settings;

/**
 * The {@code fleet} object of an operator's file, checked and with its defaults. Times in milliseconds.
 *
 * @param events where events go, or null for the log
 */
record FleetConfig(Fleet.Options options, Path events) {
    private static final double FADES = 10_000;
    private static final double REPEATS = 0.1;
    // Membership alone spends about 1,000 bytes a second; with less than twice that changes would hardly move.
    private static final double LEAST_BUDGET = 2_000;

    /** Null where the file has no such object: the instance is in no fleet. */
    static FleetConfig read(Map<?, ?> json) throws Config.Bad {
        if (json.get("fleet") == null) {
            return null;
        }
        Map<?, ?> fleet = Config.object(json, "fleet");
        Config.known(fleet, "fleet.", "listen", "peers", "key_file", "period_ms", "fades_ms", "members", "events",
            "findings", "repeats", "shed", "bytes_per_second");
        for (String flag : List.of("findings", "shed")) {
            if (fleet.get(flag) != null && !(fleet.get(flag) instanceof Boolean)) {
                throw new Config.Bad("fleet." + flag + " must be true or false");
            }
        }
        if (json.get("store") == null) {
            throw new Config.Bad("fleet needs 'store': the numbers of this instance's lives are kept there");
        }
        String name = Config.word(json, "name", null);
        if (name.length() > MemberUpdate.LONGEST_NAME) {
            throw new Config.Bad("name is longer than " + MemberUpdate.LONGEST_NAME + " characters");
        }
        Map<String, InetSocketAddress> peers = new TreeMap<>();
        for (Map.Entry<?, ?> peer : Config.object(fleet, "fleet.", "peers").entrySet()) {
            String key = "fleet.peers." + peer.getKey();
            if (!(peer.getValue() instanceof String address)) {
                throw new Config.Bad(key + " is not a text");
            }
            peers.put((String) peer.getKey(), Config.address(address, key));
        }
        double period = Config.number(fleet, "fleet.", "period_ms", Settings.USUAL.period(), 20);
        int members = (int) Config.number(fleet, "fleet.", "members", (double) Settings.USUAL.mostMembers(), 2);
        Settings usual = Settings.USUAL.withPeriod(period);
        Settings settings = new Settings(usual.period(), usual.timeout(), usual.relays(), usual.spread(), usual.fanout(),
            usual.suspicionLeast(), usual.suspicionMost(), usual.confirmations(), usual.healthMost(), usual.rejoin(),
            members,
            usual.mostNews(), usual.standstill());
        return new FleetConfig(new Fleet.Options(name, Config.address(text(fleet, "listen"), "fleet.listen"), peers,
            key(text(fleet, "key_file")), settings, Config.number(fleet, "fleet.", "fades_ms", FADES, 4 * period),
            !Boolean.FALSE.equals(fleet.get("findings")), !Boolean.FALSE.equals(fleet.get("shed")),
            Config.number(fleet, "fleet.", "repeats", REPEATS, 0),
            Dissemination.Settings.USUAL.withBudget(Config.number(fleet, "fleet.", "bytes_per_second",
                Dissemination.Settings.USUAL.bytesPerSecond(), LEAST_BUDGET))),
            fleet.get("events") == null ? null : path(text(fleet, "events"), "fleet.events"));
    }

    private static String text(Map<?, ?> fleet, String key) throws Config.Bad {
        if (fleet.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new Config.Bad("fleet." + key + (fleet.get(key) == null ? " is missing" : " is not a text"));
    }

    private static Path path(String text, String key) throws Config.Bad {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            throw new Config.Bad(key + ": '" + text + "' is no path");
        }
    }

    private static byte[] key(String file) throws Config.Bad {
        try {
            byte[] key = Files.readAllBytes(path(file, "fleet.key_file"));
            if (new String(key, java.nio.charset.StandardCharsets.ISO_8859_1).strip().length() < 16) {
                throw new Config.Bad("fleet.key_file: " + file + " holds fewer than 16 bytes");
            }
            return key;
        } catch (IOException e) {
            throw new Config.Bad("fleet.key_file: " + StoreConfig.message(e));
        }
    }

    Events openEvents() throws Config.Bad {
        try {
            if (events == null) {
                return new Events(null);
            }
            FileHandler handler = new FileHandler(events.toString().replace("%", "%%"), true);
            handler.setLevel(Level.INFO);
            return new Events(handler);
        } catch (IOException e) {
            throw new Config.Bad("fleet.events: " + StoreConfig.message(e));
        }
    }
}
