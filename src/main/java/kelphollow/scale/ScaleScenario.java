package kelphollow.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A scenario of a scale run. One with a fault is rejected with the key that is wrong, so that no run measures something else
 * than it says. Times in milliseconds.
 *
 * @param instances all instances of the fleet, the real ones among them
 * @param real how many of them are processes of the program; the last ones by name
 * @param nodes storage nodes in each instance's list
 * @param zones over all regions; instances are spread over them in blocks
 * @param period of membership's rounds
 * @param timeToLive after which an instance's state that was not renewed counts no more
 * @param state how much state each instance has to report
 * @param network delays and loss between instances
 * @param warmup how long after the start the measurement begins; with faults placed before it, they are not measured
 * @param seconds how long is measured, in seconds
 * @param drainInterval how often one instance alone is notified that a node drains; 0 for never
 * @param loops event loops of the simulated instances, over sockets
 * @param objectives upper bounds of the figures, a lower one for the share of fresh states; others are not checked
 * @param steps faults, in order of their time
 */
record ScaleScenario(String name, int instances, int real, int nodes, int regions, int zones, double period,
                     double timeToLive, StateSize state, Network network, double warmup, double seconds,
                     double drainInterval, int loops, Map<String, Double> objectives, List<Step> steps) {
    /** The largest fleet: as many instances as membership keeps. */
    static final int MAX_INSTANCES = 1_024;
    /** How many processes a run may start. */
    static final int MAX_PROCESSES = 200;
    /** Figures that an objective may be set for. */
    static final List<String> OBJECTIVES = List.of("parts_fresh_share", "drain_p99_ms", "bytes_per_second", "core_share",
        "memory_mb");

    /**
     * How much state each instance has to report.
     *
     * @param drains nodes that drain by each one's list
     * @param unresponsive nodes that do not answer
     * @param unresponsiveTo how many instances find each of these unresponsive
     * @param rejected shards at which each instance rejects requests
     */
    record StateSize(int drains, int unresponsive, int unresponsiveTo, int rejected) {}

    /**
     * One-way delays by where both ends are.
     *
     * @param zone within a zone
     * @param region between zones of a region
     * @param far between regions
     * @param jitter the largest share of a delay that is drawn on top of it
     * @param loss of datagrams, as a share of 1
     */
    record Network(double zone, double region, double far, double jitter, double loss) {}

    /** What a step does, with its word in the scenario file. */
    enum Fault {
        KILL("kill"),
        RESTART("restart"),
        SUSPEND("stop"),
        RESUME("wake"),
        KILL_ZONE("kill-zone"),
        RESTART_ZONE("restart-zone"),
        PARTITION("cut"),
        HEAL("heal"),
        LOSS("loss");

        private final String word;

        Fault(String word) {
            this.word = word;
        }

        /** The fault with this word, or null. */
        static Fault ofWord(Object word) {
            return Arrays.stream(values()).filter(fault -> fault.word.equals(word)).findFirst().orElse(null);
        }

        boolean concernsInstances() {
            return this == KILL || this == RESTART || this == SUSPEND || this == RESUME;
        }
    }

    /**
     * One fault.
     *
     * @param at since the measurement began
     * @param first the first instance it concerns; a rack is 20 in a row
     * @param count of instances
     * @param zone that is killed or restarted
     * @param from region that is partitioned off
     * @param to the region it is partitioned from, or -1 for all others
     * @param oneWay only what goes from {@code from} to {@code to} is lost
     * @param loss of datagrams from now on
     */
    record Step(double at, Fault fault, int first, int count, int zone, int from, int to, boolean oneWay, double loss) {}

    /** A scenario that cannot be played; the message names the key. */
    static final class InvalidScenario extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScenario(String message) {
            super(message);
        }
    }

    /** A copy with another size; steps must still fit. */
    ScaleScenario withInstances(int count) throws InvalidScenario {
        if (count < 2 || count > MAX_INSTANCES) {
            throw new InvalidScenario("instances must be from 2 to " + MAX_INSTANCES);
        }
        for (Step step : steps) {
            if (step.first + step.count > count) {
                throw new InvalidScenario("instances: a step names more than " + count);
            }
        }
        return new ScaleScenario(name, count, Math.min(real, count - 1), nodes, regions, zones, period, timeToLive, state,
            network, warmup, seconds, drainInterval, loops, objectives, steps);
    }

    /** A copy that is measured for another time. */
    ScaleScenario withSeconds(double measured) throws InvalidScenario {
        if (!(measured > 0 && measured <= 86_400)) {
            throw new InvalidScenario("seconds must be over 0 and at most 86400");
        }
        return new ScaleScenario(name, instances, real, nodes, regions, zones, period, timeToLive, state, network, warmup,
            measured, drainInterval, loops, objectives, steps);
    }

    /** A copy without processes, as the simulation plays it. */
    ScaleScenario withoutProcesses() {
        return new ScaleScenario(name, instances, 0, nodes, regions, zones, period, timeToLive, state, network, warmup,
            seconds, drainInterval, loops, objectives, steps);
    }

    /** Number of simulated instances; they have the first names. */
    int simulated() {
        return instances - real;
    }

    /** The zone of an instance, from 0; in blocks as even as possible. */
    int zoneOf(int instance) {
        return (int) ((long) instance * zones / instances);
    }

    int regionOf(int instance) {
        return zoneOf(instance) * regions / zones;
    }

    static String nameOf(int instance) {
        return String.format(Locale.ROOT, "s%04d", instance);
    }

    static int indexOf(String name) {
        return Integer.parseInt(name.substring(1));
    }

    // ---------------------------------------------------------------- reading

    static ScaleScenario read(Map<?, ?> json) throws InvalidScenario {
        known(json, "", "name", "instances", "real", "nodes", "regions", "zones", "period_ms", "fades_ms", "part", "network",
            "warmup_ms", "seconds", "drain_every_ms", "loops", "aims", "steps");
        if (!(json.get("name") instanceof String name) || !name.matches("[a-z0-9-]{1,64}")) {
            throw new InvalidScenario("name is missing or not of a to z, 0 to 9 and -");
        }
        int instances = whole(json, "", "instances", Double.NaN, 2, MAX_INSTANCES);
        int real = whole(json, "", "real", 0, 0, MAX_PROCESSES);
        if (real >= instances) {
            throw new InvalidScenario("real must leave one hollow instance at least");
        }
        int regions = whole(json, "", "regions", 1, 1, 16);
        int zones = whole(json, "", "zones", regions, regions, 64);
        int nodes = whole(json, "", "nodes", 1_000, 1, 10_000);
        double period = number(json, "", "period_ms", 500, 20, 60_000);
        ScaleScenario scenario = new ScaleScenario(name, instances, real, nodes, regions, zones, period,
            number(json, "", "fades_ms", 10_000, 4 * period, 600_000), state(object(json, "part"), nodes),
            network(object(json, "network")), number(json, "", "warmup_ms", 10_000, 0, 3_600_000),
            number(json, "", "seconds", 20, 0.1, 86_400), number(json, "", "drain_every_ms", 1_000, 0, 3_600_000),
            whole(json, "", "loops", 4, 1, 64), objectives(object(json, "aims")), new ArrayList<>());
        scenario.readSteps(json.get("steps"));
        return scenario;
    }

    private static StateSize state(Map<?, ?> json, int nodes) throws InvalidScenario {
        known(json, "part.", "drains", "silent", "silent_by", "refused");
        StateSize state = new StateSize(whole(json, "part.", "drains", 2, 0, 250), whole(json, "part.", "silent", 0, 0, 250),
            whole(json, "part.", "silent_by", 3, 1, MAX_INSTANCES), whole(json, "part.", "refused", 1, 0, 250));
        if (state.drains + state.unresponsive + state.rejected >= nodes) {
            throw new InvalidScenario("nodes: fewer than the keys of 'part'");
        }
        return state;
    }

    private static Network network(Map<?, ?> json) throws InvalidScenario {
        known(json, "network.", "zone_ms", "region_ms", "far_ms", "jitter", "loss");
        return new Network(number(json, "network.", "zone_ms", 0.5, 0, 10_000),
            number(json, "network.", "region_ms", 2, 0, 10_000), number(json, "network.", "far_ms", 40, 0, 10_000),
            number(json, "network.", "jitter", 0.2, 0, 10), number(json, "network.", "loss", 0, 0, 1));
    }

    private static Map<String, Double> objectives(Map<?, ?> json) throws InvalidScenario {
        known(json, "aims.", OBJECTIVES.toArray(String[]::new));
        Map<String, Double> objectives = new TreeMap<>();
        for (Object key : json.keySet()) {
            objectives.put((String) key, number(json, "aims.", (String) key, Double.NaN, 0, 1e9));
        }
        return objectives;
    }

    private void readSteps(Object json) throws InvalidScenario {
        if (json == null) {
            return;
        }
        if (!(json instanceof List<?> list)) {
            throw new InvalidScenario("steps is not a list");
        }
        double last = 0;
        for (int i = 0; i < list.size(); i++) {
            String at = "steps[" + i + "].";
            if (!(list.get(i) instanceof Map<?, ?> step)) {
                throw new InvalidScenario("steps[" + i + "] is not an object");
            }
            steps.add(step(step, at));
            if (steps.get(i).at < last) {
                throw new InvalidScenario(at + "at_ms is before the step before it");
            }
            last = steps.get(i).at;
        }
    }

    private Step step(Map<?, ?> json, String at) throws InvalidScenario {
        known(json, at, "at_ms", "do", "first", "count", "zone", "from", "to", "one_way", "loss");
        Fault fault = Fault.ofWord(json.get("do"));
        if (fault == null) {
            throw new InvalidScenario(at + "do is "
                + (json.get("do") == null ? "missing" : "'" + json.get("do") + "', which is not known"));
        }
        int first = whole(json, at, "first", 0, 0, simulated() - 1);
        int count = whole(json, at, "count", fault.concernsInstances() ? 1 : 0, 0, simulated() - first);
        return new Step(number(json, at, "at_ms", Double.NaN, 0, 86_400_000), fault, first, count,
            whole(json, at, "zone", 0, 0, zones - 1), whole(json, at, "from", 0, 0, regions - 1),
            whole(json, at, "to", -1, -1, regions - 1), Boolean.TRUE.equals(json.get("one_way")),
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
        throw new InvalidScenario(key + " is not an object");
    }

    private static int whole(Map<?, ?> json, String at, String key, double absent, int least, int most)
        throws InvalidScenario {
        double value = number(json, at, key, absent, least, most);
        if (value != Math.rint(value)) {
            throw new InvalidScenario(at + key + " must be a whole number");
        }
        return (int) value;
    }

    private static double number(Map<?, ?> json, String at, String key, double absent, double least, double most)
        throws InvalidScenario {
        Object value = json.get(key) == null ? (Double) absent : json.get(key);
        if (value instanceof Double d && d >= least && d <= most) {
            return d;
        }
        throw new InvalidScenario(at + key
            + (json.get(key) == null ? " is missing" : " must be from " + least + " to " + most));
    }

    private static void known(Map<?, ?> json, String at, String... keys) throws InvalidScenario {
        for (Object key : json.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new InvalidScenario(at + key + " is not known");
            }
        }
    }
}
