package kelphollow.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.scale.ScaleScenario.Fault;
import kelphollow.scale.ScaleScenario.InvalidScenario;
import kelphollow.scale.ScaleScenario.Network;
import kelphollow.scale.ScaleScenario.StateSize;
import kelphollow.scale.ScaleScenario.Step;

/**
 * Reads a scenario from the JSON of its file: maps the file's keys, some of which are older names, to the fields of
 * {@link ScaleScenario}, with defaults and bounds. Stateless.
 */
final class ScenarioReader {
    private ScenarioReader() {}

    /** Reads a scenario; the exception's message starts with the path of the wrong key. */
    static ScaleScenario read(Map<?, ?> json) throws InvalidScenario {
        rejectUnknownKeys(json, "", "name", "instances", "real", "nodes", "regions", "zones", "period_ms", "fades_ms",
            "part", "network",
            "warmup_ms", "seconds", "drain_every_ms", "loops", "aims", "steps");
        if (!(json.get("name") instanceof String name) || !name.matches("[a-z0-9-]{1,64}")) {
            throw new InvalidScenario("name must be 1 to 64 characters of a to z, 0 to 9 and -, not " + json.get("name"));
        }
        int instances = integer(json, "", "instances", Double.NaN, 2, ScaleScenario.MAX_INSTANCES);
        int real = integer(json, "", "real", 0, 0, ScaleScenario.MAX_PROCESSES);
        if (real >= instances) {
            throw new InvalidScenario("real must be less than instances (" + instances + "), not " + real);
        }
        int regions = integer(json, "", "regions", 1, 1, 16);
        int zones = integer(json, "", "zones", regions, regions, 64);
        int nodes = integer(json, "", "nodes", 1_000, 1, 10_000);
        double period = number(json, "", "period_ms", 500, 20, 60_000);
        ScaleScenario scenario = new ScaleScenario(name, instances, real, nodes, regions, zones, period,
            number(json, "", "fades_ms", 10_000, 4 * period, 600_000), state(object(json, "part"), nodes),
            network(object(json, "network")), number(json, "", "warmup_ms", 10_000, 0, 3_600_000),
            number(json, "", "seconds", 20, 0.1, 86_400), number(json, "", "drain_every_ms", 1_000, 0, 3_600_000),
            integer(json, "", "loops", 4, 1, 64), objectives(object(json, "aims")), List.of());
        return scenario.withSteps(steps(json.get("steps"), scenario));
    }

    private static StateSize state(Map<?, ?> json, int nodes) throws InvalidScenario {
        rejectUnknownKeys(json, "part.", "drains", "silent", "silent_by", "refused");
        StateSize state = new StateSize(integer(json, "part.", "drains", 2, 0, 250), integer(json, "part.", "silent", 0, 0,
            250),
            integer(json, "part.", "silent_by", 3, 1, ScaleScenario.MAX_INSTANCES), integer(json, "part.", "refused", 1, 0,
                250));
        if (state.drains() + state.unresponsive() + state.rejected() >= nodes) {
            throw new InvalidScenario("nodes must be more than the sum of part.drains, part.silent and part.refused, not "
                + nodes);
        }
        return state;
    }

    private static Network network(Map<?, ?> json) throws InvalidScenario {
        rejectUnknownKeys(json, "network.", "zone_ms", "region_ms", "far_ms", "jitter", "loss");
        return new Network(number(json, "network.", "zone_ms", 0.5, 0, 10_000),
            number(json, "network.", "region_ms", 2, 0, 10_000), number(json, "network.", "far_ms", 40, 0, 10_000),
            number(json, "network.", "jitter", 0.2, 0, 10), number(json, "network.", "loss", 0, 0, 1));
    }

    private static Map<String, Double> objectives(Map<?, ?> json) throws InvalidScenario {
        rejectUnknownKeys(json, "aims.", ScaleScenario.OBJECTIVES.toArray(String[]::new));
        Map<String, Double> objectives = new TreeMap<>();
        for (Object key : json.keySet()) {
            objectives.put((String) key, number(json, "aims.", (String) key, Double.NaN, 0, 1e9));
        }
        return objectives;
    }

    private static List<Step> steps(Object json, ScaleScenario scenario) throws InvalidScenario {
        if (json == null) {
            return List.of();
        }
        if (!(json instanceof List<?> list)) {
            throw new InvalidScenario("steps must be a list");
        }
        List<Step> steps = new ArrayList<>();
        double last = 0;
        for (int i = 0; i < list.size(); i++) {
            String at = "steps[" + i + "].";
            if (!(list.get(i) instanceof Map<?, ?> map)) {
                throw new InvalidScenario("steps[" + i + "] must be an object");
            }
            Step step = step(map, at, scenario);
            if (step.at() < last) {
                throw new InvalidScenario(at + "at_ms must be at least the previous step's " + last + ", not " + step.at());
            }
            last = step.at();
            steps.add(step);
        }
        return steps;
    }

    private static Step step(Map<?, ?> json, String at, ScaleScenario scenario) throws InvalidScenario {
        rejectUnknownKeys(json, at, "at_ms", "do", "first", "count", "zone", "from", "to", "one_way", "loss");
        Fault fault = Fault.ofKey(json.get("do"));
        if (fault == null) {
            throw new InvalidScenario(at + "do is "
                + (json.get("do") == null ? "missing" : "'" + json.get("do") + "', which is not known"));
        }
        int first = integer(json, at, "first", 0, 0, scenario.simulated() - 1);
        int count = integer(json, at, "count", fault.concernsInstances() ? 1 : 0, 0, scenario.simulated() - first);
        return new Step(number(json, at, "at_ms", Double.NaN, 0, 86_400_000), fault, first, count,
            integer(json, at, "zone", 0, 0, scenario.zones() - 1), integer(json, at, "from", 0, 0, scenario.regions() - 1),
            integer(json, at, "to", -1, -1, scenario.regions() - 1), Boolean.TRUE.equals(json.get("one_way")),
            number(json, at, "loss", fault == Fault.LOSS ? Double.NaN : 0, 0, 1));
    }

    private static Map<?, ?> object(Map<?, ?> json, String key) throws InvalidScenario {
        Object value = json.get(key);
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new InvalidScenario(key + " must be an object");
    }

    private static int integer(Map<?, ?> json, String at, String key, double defaultValue, int min, int max)
        throws InvalidScenario {
        double value = number(json, at, key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            throw new InvalidScenario(at + key + " must be a whole number, not " + value);
        }
        return (int) value;
    }

    private static double number(Map<?, ?> json, String at, String key, double defaultValue, double min, double max)
        throws InvalidScenario {
        Object value = json.get(key) == null ? (Double) defaultValue : json.get(key);
        if (value instanceof Double d && d >= min && d <= max) {
            return d;
        }
        throw new InvalidScenario(at + key
            + (json.get(key) == null ? " is missing" : " must be from " + min + " to " + max + ", not " + value));
    }

    private static void rejectUnknownKeys(Map<?, ?> json, String at, String... keys) throws InvalidScenario {
        for (Object key : json.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new InvalidScenario(at + key + " is not known");
            }
        }
    }
}
