package kelphollow.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a scale run plays, as data. A faulty scenario is refused whole with the key that is wrong, so that no run measures
 * something else than it says. Times in milliseconds.
 *
 * @param instances all instances of the fleet, the real ones among them
 * @param real how many of them are processes of the program; the last ones by name
 * @param nodes storage nodes in each instance's list
 * @param zones over all regions; instances are spread over them in blocks
 * @param period of membership's rounds
 * @param fades after which what an instance said, and did not say again, counts no more
 * @param part what each instance has to say
 * @param network delays and loss between instances
 * @param warmup how long after the start the measurement begins; with faults placed before it, they are not measured
 * @param seconds how long is measured, in seconds
 * @param drainEvery so often one instance alone is told that a node drains; 0: never
 * @param loops event loops of the hollow instances, over sockets
 * @param aims upper bounds of the figures, a lower one for the share of fresh parts; those not named are not checked
 * @param steps faults, in order of their time
 */
record ScaleScenario(String name, int instances, int real, int nodes, int regions, int zones, double period, double fades,
                     PartSize part, Network network, double warmup, double seconds, double drainEvery, int loops,
                     Map<String, Double> aims, List<Step> steps) {
    /** Most instances of a fleet: as many as membership keeps. */
    static final int MOST_INSTANCES = 1_024;
    /** Most processes that a run starts. */
    static final int MOST_PROCESSES = 200;
    /** Figures that an aim may be set for. */
    static final List<String> AIMS = List.of("parts_fresh_share", "drain_p99_ms", "bytes_per_second", "core_share",
        "memory_mb");

    /**
     * What each instance has to say.
     *
     * @param drains nodes that drain by each one's list
     * @param silent nodes that do not answer
     * @param silentBy how many instances find each of these silent
     * @param refused shards at which each instance turns requests away
     */
    record PartSize(int drains, int silent, int silentBy, int rejected) {}

    /** One way, by where both ends are; {@code jitter} is the share of it that is drawn on top; {@code loss} a part of 1. */
    record Network(double zone, double region, double far, double jitter, double loss) {}

    /** What a step does. */
    enum Fault { KILL, RESTART, STOP, WAKE, KILL_ZONE, RESTART_ZONE, CUT, HEAL, LOSS }

    /**
     * One fault.
     *
     * @param at since the measurement began
     * @param first the first instance it meets; a rack is 20 in a row
     * @param count of instances
     * @param zone that is killed or started again
     * @param from region that is cut off
     * @param to the region it is cut off from, or -1 for all others
     * @param oneWay only what goes from {@code from} to {@code to} is lost
     * @param loss of datagrams from now on
     */
    record Step(double at, Fault fault, int first, int count, int zone, int from, int to, boolean oneWay, double loss) {}

    /** A scenario that cannot be played; the message names the key. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String message) {
            super(message);
        }
    }

    /** The same with another size; steps must still fit. */
    ScaleScenario sized(int many) throws Refused {
        if (many < 2 || many > MOST_INSTANCES) {
            throw new Refused("instances must be from 2 to " + MOST_INSTANCES);
        }
        for (Step step : steps) {
            if (step.first + step.count > many) {
                throw new Refused("instances: a step names more than " + many);
            }
        }
        return new ScaleScenario(name, many, Math.min(real, many - 1), nodes, regions, zones, period, fades, part, network,
            warmup, seconds, drainEvery, loops, aims, steps);
    }

    /** The same, measured for another time. */
    ScaleScenario lasting(double measured) throws Refused {
        if (!(measured > 0 && measured <= 86_400)) {
            throw new Refused("seconds must be over 0 and at most 86400");
        }
        return new ScaleScenario(name, instances, real, nodes, regions, zones, period, fades, part, network, warmup,
            measured, drainEvery, loops, aims, steps);
    }

    /** The same without processes, as the simulation plays it. */
    ScaleScenario hollowOnly() {
        return new ScaleScenario(name, instances, 0, nodes, regions, zones, period, fades, part, network, warmup, seconds,
            drainEvery, loops, aims, steps);
    }

    int hollow() {
        return instances - real;
    }

    /** The zone of an instance, from 0; blocks as even as can be. */
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

    static ScaleScenario read(Map<?, ?> json) throws Refused {
        known(json, "", "name", "instances", "real", "nodes", "regions", "zones", "period_ms", "fades_ms", "part", "network",
            "warmup_ms", "seconds", "drain_every_ms", "loops", "aims", "steps");
        if (!(json.get("name") instanceof String name) || !name.matches("[a-z0-9-]{1,64}")) {
            throw new Refused("name is missing or not of a to z, 0 to 9 and -");
        }
        int instances = whole(json, "", "instances", Double.NaN, 2, MOST_INSTANCES);
        int real = whole(json, "", "real", 0, 0, MOST_PROCESSES);
        if (real >= instances) {
            throw new Refused("real must leave one hollow instance at least");
        }
        int regions = whole(json, "", "regions", 1, 1, 16);
        int zones = whole(json, "", "zones", regions, regions, 64);
        int nodes = whole(json, "", "nodes", 1_000, 1, 10_000);
        double period = number(json, "", "period_ms", 500, 20, 60_000);
        ScaleScenario scenario = new ScaleScenario(name, instances, real, nodes, regions, zones, period,
            number(json, "", "fades_ms", 10_000, 4 * period, 600_000), part(object(json, "part"), instances, nodes),
            network(object(json, "network")), number(json, "", "warmup_ms", 10_000, 0, 3_600_000),
            number(json, "", "seconds", 20, 0.1, 86_400), number(json, "", "drain_every_ms", 1_000, 0, 3_600_000),
            whole(json, "", "loops", 4, 1, 64), aims(object(json, "aims")), new ArrayList<>());
        scenario.readSteps(json.get("steps"));
        return scenario;
    }

    private static PartSize part(Map<?, ?> json, int instances, int nodes) throws Refused {
        known(json, "part.", "drains", "silent", "silent_by", "refused");
        PartSize part = new PartSize(whole(json, "part.", "drains", 2, 0, 250), whole(json, "part.", "silent", 0, 0, 250),
            whole(json, "part.", "silent_by", 3, 1, MOST_INSTANCES), whole(json, "part.", "refused", 1, 0, 250));
        if (part.drains + part.silent + part.rejected >= nodes) {
            throw new Refused("nodes: fewer than the keys of 'part'");
        }
        return part;
    }

    private static Network network(Map<?, ?> json) throws Refused {
        known(json, "network.", "zone_ms", "region_ms", "far_ms", "jitter", "loss");
        return new Network(number(json, "network.", "zone_ms", 0.5, 0, 10_000),
            number(json, "network.", "region_ms", 2, 0, 10_000), number(json, "network.", "far_ms", 40, 0, 10_000),
            number(json, "network.", "jitter", 0.2, 0, 10), number(json, "network.", "loss", 0, 0, 1));
    }

    private static Map<String, Double> aims(Map<?, ?> json) throws Refused {
        known(json, "aims.", AIMS.toArray(String[]::new));
        Map<String, Double> aims = new TreeMap<>();
        for (Object key : json.keySet()) {
            aims.put((String) key, number(json, "aims.", (String) key, Double.NaN, 0, 1e9));
        }
        return aims;
    }

    private void readSteps(Object json) throws Refused {
        if (json == null) {
            return;
        }
        if (!(json instanceof List<?> list)) {
            throw new Refused("steps is not a list");
        }
        double last = 0;
        for (int i = 0; i < list.size(); i++) {
            String at = "steps[" + i + "].";
            if (!(list.get(i) instanceof Map<?, ?> step)) {
                throw new Refused("steps[" + i + "] is not an object");
            }
            steps.add(step(step, at));
            if (steps.get(i).at < last) {
                throw new Refused(at + "at_ms is before the step before it");
            }
            last = steps.get(i).at;
        }
    }

    private Step step(Map<?, ?> json, String at) throws Refused {
        known(json, at, "at_ms", "do", "first", "count", "zone", "from", "to", "one_way", "loss");
        Fault fault = null;
        for (Fault f : Fault.values()) {
            if (f.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(json.get("do"))) {
                fault = f;
            }
        }
        if (fault == null) {
            throw new Refused(at + "do is "
                + (json.get("do") == null ? "missing" : "'" + json.get("do") + "', which is not known"));
        }
        boolean some = List.of(Fault.KILL, Fault.RESTART, Fault.STOP, Fault.WAKE).contains(fault);
        int first = whole(json, at, "first", 0, 0, hollow() - 1);
        int count = whole(json, at, "count", some ? 1 : 0, 0, hollow() - first);
        return new Step(number(json, at, "at_ms", Double.NaN, 0, 86_400_000), fault, first, count,
            whole(json, at, "zone", 0, 0, zones - 1), whole(json, at, "from", 0, 0, regions - 1),
            whole(json, at, "to", -1, -1, regions - 1), Boolean.TRUE.equals(json.get("one_way")),
            number(json, at, "loss", fault == Fault.LOSS ? Double.NaN : 0, 0, 1));
    }

    private static Map<?, ?> object(Map<?, ?> json, String key) throws Refused {
        Object value = json.get(key);
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new Refused(key + " is not an object");
    }

    private static int whole(Map<?, ?> json, String at, String key, double absent, int least, int most) throws Refused {
        double value = number(json, at, key, absent, least, most);
        if (value != Math.rint(value)) {
            throw new Refused(at + key + " must be a whole number");
        }
        return (int) value;
    }

    private static double number(Map<?, ?> json, String at, String key, double absent, double least, double most)
        throws Refused {
        Object value = json.get(key) == null ? (Double) absent : json.get(key);
        if (value instanceof Double d && d >= least && d <= most) {
            return d;
        }
        throw new Refused(at + key + (json.get(key) == null ? " is missing" : " must be from " + least + " to " + most));
    }

    private static void known(Map<?, ?> json, String at, String... keys) throws Refused {
        for (Object key : json.keySet()) {
            if (!List.of(keys).contains(key)) {
                throw new Refused(at + key + " is not known");
            }
        }
    }
}
