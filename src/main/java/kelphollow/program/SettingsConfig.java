package kelphollow.program;

import java.util.List;
import java.util.Map;
import kelphollow.adapter.MalformedMessageException;
import kelphollow.adapter.SettingsReader;
import kelphollow.decision.Control;
import kelphollow.decision.ControlSettings;

/**
 * Reads and validates the {@code settings} section of a configuration. {@link SettingsReader}, written for the simulator's
 * protocol, assumes valid settings; operators' files may be invalid, so each key that a scheduler needs is checked first.
 */
final class SettingsConfig {
    /** Endpoints are pushed to an agent on this machine, or polled from one service for all schedulers. */
    private static final List<String> DISCOVERY_MODES = List.of("automatic", "subscribe");
    private static final String EFFECT_TOKEN = "token";

    private SettingsConfig() {}

    /** Checks the keys and reads the settings; {@link Control} checks the remaining constraints. */
    static ControlSettings read(Map<?, ?> values) throws ConfigurationException {
        ConfigSection settings = new ConfigSection(values, "settings.");
        checkLists(settings);
        for (String key : List.of("ceilings", "contract", "extra")) {
            settings.section(key);
        }
        checkDiscovery(settings);
        checkClasses(settings);
        checkPlans(settings);
        checkNumbers(settings);
        try {
            ControlSettings read = SettingsReader.read(values);
            new Control(read, 0, 0);
            return read;
        } catch (MalformedMessageException | IllegalArgumentException e) {
            String message = e.getMessage();
            throw new ConfigurationException(message.startsWith("settings") ? message : "settings: " + message);
        }
    }

    private static void checkLists(ConfigSection settings) throws ConfigurationException {
        for (String key : List.of("request_classes", "grades")) {
            if (!(settings.value(key) instanceof List<?> list) || list.isEmpty()) {
                throw new ConfigurationException(settings.key(key) + " is missing or empty");
            }
        }
    }

    private static void checkDiscovery(ConfigSection settings) throws ConfigurationException {
        Object mode = settings.value("discovery");
        if (!(mode instanceof String) || !DISCOVERY_MODES.contains(mode)) {
            String found = mode == null ? " is missing" : " is '" + mode + "'";
            throw new ConfigurationException(settings.key("discovery") + found + ", must be one of " + String.join(", ",
                DISCOVERY_MODES));
        }
    }

    private static void checkClasses(ConfigSection settings) throws ConfigurationException {
        List<?> classes = (List<?>) settings.value("request_classes");
        for (int i = 0; i < classes.size(); i++) {
            String key = settings.key("request_classes[" + i + "]");
            if (!(classes.get(i) instanceof Map<?, ?> values)) {
                throw new ConfigurationException(key + " is not an object");
            }
            checkRequiredClassKeys(new ConfigSection(values, key + "."));
        }
        for (int i = 0; i < classes.size(); i++) {
            String key = settings.key("request_classes[" + i + "]");
            checkOptionalClassKeys(new ConfigSection((Map<?, ?>) classes.get(i), key + "."));
        }
    }

    private static void checkRequiredClassKeys(ConfigSection requestClass) throws ConfigurationException {
        requestClass.text("name");
        for (String key : List.of("deadline", "aim")) {
            if (!(requestClass.value(key) instanceof Double time) || !(time > 0)) {
                throw new ConfigurationException(requestClass.key(key)
                    + (requestClass.has(key) ? " must be a number above 0" : " is missing"));
            }
        }
    }

    private static void checkOptionalClassKeys(ConfigSection requestClass) throws ConfigurationException {
        requestClass.checkNumbers("worth", "late_share", "window");
        requestClass.checkStrings("effect", "dedup_scope");
        if (EFFECT_TOKEN.equals(requestClass.value("effect"))) {
            requestClass.number("window", 0);
            requestClass.text("dedup_scope");
        }
    }

    private static void checkPlans(ConfigSection settings) throws ConfigurationException {
        for (Object plan : (List<?>) settings.value("grades")) {
            if (!(plan instanceof Map<?, ?> values)) {
                throw new ConfigurationException(settings.key("grades") + " holds an element that is not an object");
            }
            new ConfigSection(values, settings.key("grades") + ".").checkNumbers("reserve", "proportion", "value_factor",
                "ceiling_rate", "limit_burst", "tolerance");
        }
    }

    private static void checkNumbers(ConfigSection settings) throws ConfigurationException {
        ConfigSection ceilings = settings.section("ceilings");
        ConfigSection contract = settings.section("contract");
        ceilings.checkNumbers("open_cap", "max_retry_after");
        contract.checkNumbers("cold_share", "cold", "tip_multiple", "fall", "key_rest", "extra_floor", "extra_ratio",
            "counted_over", "ask_every");
        settings.section("extra").checkNumbers("young_limit", "unit_mean", "share_worth", "beyond_share");
        settings.checkNumbers("me", "tick");
        settings.number("fleet_size", 1);
        ceilings.number("most_tries", 1);
        contract.number("drain_grace", 0);
    }
}
