package kelphollow.lab;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.lab.Scenario.Action;
import kelphollow.lab.Scenario.Condition;

/** Reads one JSON object of a scenario's file; a faulty one is rejected as a whole, and the message names the key. */
final class ScenarioReader {
    private static final int MAX_PARTIES = 20;
    private static final double MAX_COUNT = 1e6;
    private static final double MAX_CLOCK_OFF = 1e9;
    private static final double MAX_MILLIS = 10_000;
    private static final double DEFAULT_SLOWDOWN = 6;
    private static final Set<Action> OF_NODES = Set.of(Action.SILENT_NODE, Action.FAILING_NODE, Action.SLOW_NODE,
        Action.NODE_BACK);
    private static final Set<Action> OF_NOBODY = Set.of(Action.HEAL, Action.NET, Action.DISCOVERY_DOWN,
        Action.DISCOVERY_UP, Action.LOAD, Action.NOTHING);

    private final Map<?, ?> values;
    /** What stands before a key to name it in full. */
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
            throw new InvalidScenarioException("name is missing or not of a to z, 0 to 9 and -");
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
        Condition until = constant("wait", Condition.class);
        Action action = constant("do", Action.class);
        boolean ofNodes = OF_NODES.contains(action);
        List<String> who = names("who", ofNodes ? "n" : "i", ofNodes ? nodes : instances);
        boolean drains = action == Action.DRAIN || action == Action.UNDRAIN;
        List<String> from = names("from", drains ? "n" : "i", drains ? nodes : instances);
        if (who.isEmpty() && !OF_NOBODY.contains(action)) {
            throw new InvalidScenarioException(path + "who is missing or empty");
        }
        if (drains && from.isEmpty()) {
            throw new InvalidScenarioException(path + "from is missing: the nodes that drain");
        }
        String event = textOrEmpty("event");
        if (until == Condition.SEEN && event.isEmpty()) {
            throw new InvalidScenarioException(path + "event is missing");
        }
        if (until != Condition.AGREE && values.get("count") == null) {
            throw new InvalidScenarioException(path + "count is missing");
        }
        return new Scenario.Step(until, event, textOrEmpty("of"), number("count", 0, 0, MAX_COUNT),
            number("within_ms", 30_000, 1, 120_000), action, who, from, flag("lost_store", false),
            number("clock_off_ms", 0, -MAX_CLOCK_OFF, MAX_CLOCK_OFF), flag("one_way", false),
            number("by", action == Action.LOAD ? Double.NaN : DEFAULT_SLOWDOWN, 0, 10_000), link());
    }

    private Scenario.LinkQuality link() throws InvalidScenarioException {
        return new Scenario.LinkQuality(number("loss", 0, 0, 1), number("duplicate", 0, 0, 1),
            number("delay_ms", 0, 0, MAX_MILLIS), number("jitter_ms", 0, 0, MAX_MILLIS));
    }

    // ---------------------------------------------------------------- values

    /** An object that may have these keys, or an empty one if there is none. */
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

    /** True or false if it is there, {@code absent} where it is missing or no truth value. */
    private boolean flag(String key, boolean absent) {
        return values.get(key) instanceof Boolean flag ? flag : absent;
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

    /** Names of a letter and a number below {@code many}, empty if there is no such list. */
    private List<String> names(String key, String letter, int many) throws InvalidScenarioException {
        if (values.get(key) == null) {
            return List.of();
        }
        if (!(values.get(key) instanceof List<?> list)) {
            throw new InvalidScenarioException(path + key + " is not a list");
        }
        Set<String> names = new LinkedHashSet<>();
        for (Object name : list) {
            if (!(name instanceof String text) || !text.matches(letter + "[0-9]{1,2}")
                || Integer.parseInt(text.substring(1)) >= many) {
                throw new InvalidScenarioException(path + key + " names " + name + ", which is not one of " + letter
                    + "0 to " + letter + (many - 1));
            }
            names.add(text);
        }
        return List.copyOf(names);
    }

    /** A number within bounds; {@code absent} stands in for a missing one, NaN if it must be there. */
    private double number(String key, double absent, double least, double most) throws InvalidScenarioException {
        Object value = values.get(key) == null ? (Double) absent : values.get(key);
        if (value instanceof Double number && number >= least && number <= most) {
            return number;
        }
        throw new InvalidScenarioException(path + key
            + (values.get(key) == null ? " is missing" : " must be from " + least + " to " + most));
    }
}
