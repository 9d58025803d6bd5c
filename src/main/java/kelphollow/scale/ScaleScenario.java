package kelphollow.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A scenario of a scale run. An invalid one is rejected with the name of the wrong key, so that no run measures something
 * other than its file says. Times are in milliseconds.
 *
 * @param instances number of instances in the fleet, real ones included
 * @param real number of instances that run as processes of the program; they have the last names
 * @param nodes storage nodes in each instance's endpoint list
 * @param zones total over all regions; each zone has a block of consecutive instances
 * @param period protocol period of membership
 * @param timeToLive age at which an instance's state expires unless it is renewed
 * @param state how much state each instance has to report
 * @param network delays and loss between instances
 * @param warmup least time from the start to the measurement
 * @param seconds length of the measurement, in seconds
 * @param drainInterval interval at which a single instance is notified that a node drains; 0 for never
 * @param loops number of event loops that the simulated instances share when run over sockets
 * @param objectives bounds of figures: a lower one for the share of fresh states, upper ones for the others; figures
 *     without a bound are not checked
 * @param steps faults in order of time
 */
record ScaleScenario(String name, int instances, int real, int nodes, int regions, int zones, double period,
                     double timeToLive, StateSize state, Network network, double warmup, double seconds,
                     double drainInterval, int loops, Map<String, Double> objectives, List<Step> steps) {
    /** The largest fleet: membership keeps no more members. */
    static final int MAX_INSTANCES = 1_024;
    /** The largest number of processes that a run starts. */
    static final int MAX_PROCESSES = 200;
    /** Figures that can have an objective. */
    static final List<String> OBJECTIVES = List.of("parts_fresh_share", "drain_p99_ms", "bytes_per_second", "core_share",
        "memory_mb");

    /**
     * How much state each instance has to report.
     *
     * @param drains nodes that drain in each instance's endpoint list
     * @param unresponsive nodes that do not answer
     * @param unresponsiveTo number of instances that find each of these nodes unresponsive
     * @param rejected shards at which each instance rejects requests
     */
    record StateSize(int drains, int unresponsive, int unresponsiveTo, int rejected) {}

    /**
     * One-way delays by location of the two ends, and loss.
     *
     * @param zone within a zone
     * @param region between zones of a region
     * @param far between regions
     * @param jitter largest random addition to a delay, as a share of it
     * @param loss share of datagrams that are lost, from 0 to 1
     */
    record Network(double zone, double region, double far, double jitter, double loss) {}

    /** What a step does; each constant holds its name in the scenario file. */
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

        private final String key;

        Fault(String key) {
            this.key = key;
        }

        /** Returns the fault with this name in the scenario file, or null. */
        static Fault ofKey(Object key) {
            return Arrays.stream(values()).filter(fault -> fault.key.equals(key)).findFirst().orElse(null);
        }

        boolean concernsInstances() {
            return this == KILL || this == RESTART || this == SUSPEND || this == RESUME;
        }
    }

    /**
     * One fault.
     *
     * @param at time since the measurement began
     * @param first first instance concerned; a rack is 20 consecutive instances
     * @param count number of instances concerned
     * @param zone zone that is killed or restarted
     * @param from region that is partitioned off
     * @param to region it is partitioned from, or -1 for all others
     * @param oneWay whether only packets from {@code from} to {@code to} are lost
     * @param loss share of datagrams that are lost from this step on
     */
    record Step(double at, Fault fault, int first, int count, int zone, int from, int to, boolean oneWay, double loss) {}

    /** Thrown for an invalid scenario; the message starts with the key. */
    static final class InvalidScenario extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScenario(String message) {
            super(message);
        }
    }

    /** Returns a copy with another fleet size; fails if a step concerns an instance beyond it. */
    ScaleScenario withInstances(int count) throws InvalidScenario {
        if (count < 2 || count > MAX_INSTANCES) {
            throw new InvalidScenario("instances must be from 2 to " + MAX_INSTANCES + ", not " + count);
        }
        for (Step step : steps) {
            if (step.first + step.count > count) {
                throw new InvalidScenario("instances: a step needs " + (step.first + step.count)
                    + " instances, the fleet has " + count);
            }
        }
        return new ScaleScenario(name, count, Math.min(real, count - 1), nodes, regions, zones, period, timeToLive, state,
            network, warmup, seconds, drainInterval, loops, objectives, steps);
    }

    /** Returns a copy with another length of the measurement, in seconds. */
    ScaleScenario withSeconds(double measured) throws InvalidScenario {
        if (!(measured > 0 && measured <= 86_400)) {
            throw new InvalidScenario("seconds must be over 0 and at most 86400, not " + measured);
        }
        return new ScaleScenario(name, instances, real, nodes, regions, zones, period, timeToLive, state, network, warmup,
            measured, drainInterval, loops, objectives, steps);
    }

    /** Returns a copy with these steps. */
    ScaleScenario withSteps(List<Step> newSteps) {
        return new ScaleScenario(name, instances, real, nodes, regions, zones, period, timeToLive, state, network, warmup,
            seconds, drainInterval, loops, objectives, newSteps);
    }

    /** Returns a copy in which all instances are simulated. */
    ScaleScenario withoutProcesses() {
        return new ScaleScenario(name, instances, 0, nodes, regions, zones, period, timeToLive, state, network, warmup,
            seconds, drainInterval, loops, objectives, steps);
    }

    /** Returns the number of simulated instances; they have the first names. */
    int simulated() {
        return instances - real;
    }

    /** Returns the zone of an instance, from 0; zones are blocks of instances whose sizes differ by one at most. */
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
