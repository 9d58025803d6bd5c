package kelphollow.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

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

    /** A copy with these steps. */
    ScaleScenario withSteps(List<Step> newSteps) {
        return new ScaleScenario(name, instances, real, nodes, regions, zones, period, timeToLive, state, network, warmup,
            seconds, drainInterval, loops, objectives, newSteps);
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
}
