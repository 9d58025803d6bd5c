package kelphollow.lab;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.lab.Scenario.Action;
import kelphollow.lab.Scenario.Condition;

/** Reads one JSON object of a scenario file. Any fault rejects the whole file, with a message that names the key. */
final class ScenarioReader {
    private static final int MAX_PARTIES = 20;
    private static final double MAX_COUNT = 1e6;
    private static final double MAX_CLOCK_OFFSET_MS = 1e9;
    private static final double MAX_MILLIS = 10_000;
    private static final double DEFAULT_SLOWDOWN = 6;
    private static final Set<Action> NODE_ACTIONS = Set.of(Action.SILENT_NODE, Action.FAILING_NODE, Action.SLOW_NODE,
        Action.NODE_BACK);
    private static final Set<Action> ACTIONS_WITHOUT_TARGET = Set.of(Action.HEAL, Action.NET, Action.DISCOVERY_DOWN,
        Action.DISCOVERY_UP, Action.LOAD, Action.NOTHING);

    private final Map<?, ?> values;
    /** Prefix of a key in messages, such as "steps[0].". */
    private final String path;

    private ScenarioReader(Map<?, ?> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** Reads a whole scenario. */
    static Scenario read(Map<?, ?> json) throws InvalidScenarioException {
        return new ScenarioReader(json, "").scenario();
    }

    private Scenario scenario() throws InvalidScenarioException {
        allowOnly("name", "instances", "nodes", "period_ms", "findings", "shed", "repeats", "limit", "node", "clients",
            "steps", "calm_ms");
        if (!(values.get("name") instanceof String name) || !name.matches("[a-z0-9-]{1,64}")) {
            throw new InvalidScenarioException("name is missing or does not match [a-z0-9-]{1,64}");
        }
        int instances = (int) number("instances", Double.NaN, 1, MAX_PARTIES);
        int nodes = (int) number("nodes", 2, 1, MAX_PARTIES);
        ScenarioReader clients = section("clients", "rate", "writes", "retries", "gold");
        ScenarioReader node = section("node", "service_ms", "cores", "queue");
        ScenarioReader limit = section("limit", "rate", "burst", "slack");
        List<Scenario.Step> steps = steps(instances, nodes);
        return new Scenario(name, instances, nodes, number("period_ms", 200, 50, MAX_MILLIS), flag("findings", true),
            flag("shed", true), number("repeats", 0.1, 0, 100),
            new Scenario.Limit(limit.number("rate", 0, 0, MAX_COUNT), limit.number("burst", 0, 0, MAX_COUNT),
                limit.number("slack", 0, 0, MAX_COUNT)),
            new Scenario.NodeCapacity(node.number("service_ms", 0, 0, MAX_MILLIS), (int) node.number("cores", 1, 1, 64),
                (int) node.number("queue", 10, 0, 10_000)),
            clients.number("rate", 20, 0, 2_000), clients.number("writes", 0.2, 0, 1),
            (int) clients.number("retries", 0, 0, 10), clients.names("gold", "i", instances), steps,
            number("calm_ms", 500, 0, 60_000));
    }

    private List<Scenario.Step> steps(int instances, int nodes) throws InvalidScenarioException {
        if (!(values.get("steps") instanceof List<?> list) || list.isEmpty()) {
            throw new InvalidScenarioException("steps is missing or empty");
        }
        List<Scenario.Step> steps = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            String key = "steps[" + i + "]";
            if (!(list.get(i) instanceof Map<?, ?> step)) {
                throw new InvalidScenarioException(key + " is not an object");
            }
            steps.add(new ScenarioReader(step, key + ".").step(instances, nodes));
        }
        return steps;
    }

    private Scenario.Step step(int instances, int nodes) throws InvalidScenarioException {
        allowOnly("wait", "event", "of", "count", "within_ms", "do", "who", "from", "lost_store", "clock_off_ms", "one_way",
            "by", "loss", "duplicate", "delay_ms", "jitter_ms");
        Condition condition = constant("wait", Condition.class);
        Action action = constant("do", Action.class);
        boolean isNodeAction = NODE_ACTIONS.contains(action);
        List<String> who = names("who", isNodeAction ? "n" : "i", isNodeAction ? nodes : instances);
        boolean drains = action == Action.DRAIN || action == Action.UNDRAIN;
        List<String> from = names("from", drains ? "n" : "i", drains ? nodes : instances);
        if (who.isEmpty() && !ACTIONS_WITHOUT_TARGET.contains(action)) {
            throw new InvalidScenarioException(path + "who is missing or empty");
        }
        if (drains && from.isEmpty()) {
            throw new InvalidScenarioException(path + "from is missing or empty: it must list the nodes to drain");
        }
        String event = textOrEmpty("event");
        if (condition == Condition.SEEN && event.isEmpty()) {
            throw new InvalidScenarioException(path + "event is missing");
        }
        if (condition != Condition.AGREE && values.get("count") == null) {
            throw new InvalidScenarioException(path + "count is missing");
        }
        return new Scenario.Step(condition, event, textOrEmpty("of"), number("count", 0, 0, MAX_COUNT),
            number("within_ms", 30_000, 1, 120_000), action, who, from, flag("lost_store", false),
            number("clock_off_ms", 0, -MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS), flag("one_way", false),
            number("by", action == Action.LOAD ? Double.NaN : DEFAULT_SLOWDOWN, 0, 10_000), link());
    }

    private Scenario.LinkQuality link() throws InvalidScenarioException {
        return new Scenario.LinkQuality(number("loss", 0, 0, 1), number("duplicate", 0, 0, 1),
            number("delay_ms", 0, 0, MAX_MILLIS), number("jitter_ms", 0, 0, MAX_MILLIS));
    }

    // ---------------------------------------------------------------- values

    /** Returns a reader of the object under a key that allows only these keys; a missing object reads as empty. */
    private ScenarioReader section(String key, String... keys) throws InvalidScenarioException {
        Map<?, ?> section = values.get(key) instanceof Map<?, ?> map ? map : Map.of();
        ScenarioReader reader = new ScenarioReader(section, path + key + ".");
        reader.allowOnly(keys);
        return reader;
    }

    private void allowOnly(String... keys) throws InvalidScenarioException {
        for (Object key : values.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new InvalidScenarioException(path + key + " is not known");
            }
        }
    }

    /** Returns a boolean, or {@code defaultValue} if the key is missing or not a boolean. */
    private boolean flag(String key, boolean defaultValue) {
        return values.get(key) instanceof Boolean flag ? flag : defaultValue;
    }

    private String textOrEmpty(String key) {
        return values.get(key) instanceof String text ? text : "";
    }

    private <E extends Enum<E>> E constant(String key, Class<E> type) throws InvalidScenarioException {
        for (E constant : type.getEnumConstants()) {
            if (Scenario.word(constant).equals(values.get(key))) {
                return constant;
            }
        }
        throw new InvalidScenarioException(path + key + " is "
            + (values.get(key) == null ? "missing" : "'" + values.get(key) + "', which is not known"));
    }

    /** Reads a list of names, each of a letter and a number below {@code count}; empty if the key is missing. */
    private List<String> names(String key, String letter, int count) throws InvalidScenarioException {
        if (values.get(key) == null) {
            return List.of();
        }
        if (!(values.get(key) instanceof List<?> list)) {
            throw new InvalidScenarioException(path + key + " is not a list");
        }
        Set<String> names = new LinkedHashSet<>();
        for (Object name : list) {
            if (!(name instanceof String text) || !text.matches(letter + "[0-9]{1,2}")
                || Integer.parseInt(text.substring(1)) >= count) {
                throw new InvalidScenarioException(path + key + " names " + name + ", which is not one of " + letter
                    + "0 to " + letter + (count - 1));
            }
            names.add(text);
        }
        return List.copyOf(names);
    }

    /** Reads a number within bounds; {@code defaultValue} is used for a missing key, NaN means that the key is required. */
    private double number(String key, double defaultValue, double min, double max) throws InvalidScenarioException {
        Object value = values.get(key) == null ? (Double) defaultValue : values.get(key);
        if (value instanceof Double number && number >= min && number <= max) {
            return number;
        }
        throw new InvalidScenarioException(path + key
            + (values.get(key) == null ? " is missing" : " must be from " + min + " to " + max));
    }
}
