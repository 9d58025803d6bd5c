package kelphollow.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import kelphollow.protocol.peer.DropReason;

/**
 * Runs one scenario: starts all instances, waits until all list each other as present, then measures for the scenario's time
 * while it injects faults and drains. The instances take all other decisions themselves. Confined to the run's thread.
 */
final class ScaleRun implements SimulatedInstance.Observer {
    /** How long after the warm-up instances may take to list each other as present; all times in milliseconds. */
    static final double JOIN_TIMEOUT = 60_000;
    private static final double SAMPLE_INTERVAL = 1_000;
    private static final double JOIN_POLL_INTERVAL = 500;
    /** A prime, so that drains visit all instances in turn and consecutive ones are not in the same zone. */
    private static final long NOTIFIER_STRIDE = 7_919;

    /** The instances of a fleet that run as processes. */
    interface ExternalInstances {
        /** For a fleet without processes. */
        ExternalInstances NONE = new ExternalInstances() {
            @Override public Set<String> names() {
                return Set.of();
            }

            @Override public void begin() {}

            @Override public void end(Set<String> running) {}
        };

        /** Returns the names of the running processes. */
        Set<String> names();

        /** Takes the counters at the start of the measurement. */
        void begin() throws IOException;

        /** Takes the counters at the end of the measurement; {@code running} names all instances that run then. */
        void end(Set<String> running) throws IOException;
    }

    private final ScaleScenario scenario;
    private final FleetHost host;
    private final NetworkModel network;
    private final ExternalInstances external;
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final DrainProbes drains;
    private final FailureDetectionProbes deaths;
    private final Samples samples;
    private final List<String> failures = new ArrayList<>();
    private final ResourceMeter resources = new ResourceMeter();
    private double joinedAfter = Double.NaN;
    private double measuredSpan;
    private int drainNumber;

    ScaleRun(ScaleScenario scenario, FleetHost host, NetworkModel network, ExternalInstances external, long seed) {
        this.scenario = scenario;
        this.host = host;
        this.network = network;
        this.external = external;
        this.drains = new DrainProbes(scenario);
        this.deaths = new FailureDetectionProbes(scenario, network);
        this.samples = new Samples(scenario);
        for (int i = 0; i < scenario.simulated(); i++) {
            instances.add(new SimulatedInstance(scenario, i, host, network, this, seed));
        }
    }

    /** Runs the scenario; violated invariants are in {@link #failures} afterwards. */
    void execute() throws IOException, InterruptedException {
        resources.beforeStart();
        for (SimulatedInstance instance : instances) {
            start(instance);
        }
        if (!join()) {
            failures.add("agree: the instances did not all list each other as present within "
                + Math.round((scenario.warmup() + JOIN_TIMEOUT) / 1_000) + " s");
        }
        measure();
        verify();
    }

    private void start(SimulatedInstance instance) throws IOException {
        instance.start();
        deaths.started(instance.index(), instance.epoch());
    }

    private boolean join() throws InterruptedException {
        double from = host.now();
        double until = from + scenario.warmup();
        while (host.now() < until + JOIN_TIMEOUT && (host.now() < until || Double.isNaN(joinedAfter))) {
            host.advance(JOIN_POLL_INTERVAL);
            if (Double.isNaN(joinedAfter) && disagreeing() == 0) {
                joinedAfter = host.now() - from;
            }
        }
        return !Double.isNaN(joinedAfter);
    }

    private List<SimulatedInstance> running() {
        return instances.stream().filter(SimulatedInstance::isRunning).toList();
    }

    private Set<String> names() {
        Set<String> names = new HashSet<>(external.names());
        running().forEach(i -> names.add(ScaleScenario.nameOf(i.index())));
        return names;
    }

    /** Counts the running simulated instances whose present members differ from the running instances. */
    private int disagreeing() {
        Set<String> names = names();
        int count = 0;
        for (SimulatedInstance instance : running()) {
            Set<String> present = new HashSet<>(instance.present());
            present.add(ScaleScenario.nameOf(instance.index()));
            count += present.equals(names) ? 0 : 1;
        }
        return count;
    }

    // ---------------------------------------------------------------- measuring

    private void measure() throws IOException, InterruptedException {
        double from = host.now();
        double span = scenario.seconds() * 1_000;
        double sampleAt = SAMPLE_INTERVAL;
        double drainAt = scenario.drainInterval() / 2;
        double sampledAt = 0;
        int step = 0;
        host.p99Lateness();
        samples.begin(running());
        deaths.beginMeasurement();
        external.begin();
        resources.begin();
        for (double at = 0; at < span; at = host.now() - from) {
            double next = Math.min(span, sampleAt);
            next = scenario.drainInterval() > 0 ? Math.min(next, drainAt) : next;
            next = step < scenario.steps().size() ? Math.min(next, scenario.steps().get(step).at()) : next;
            host.advance(Math.max(0, next - at));
            at = host.now() - from;
            if (scenario.drainInterval() > 0 && at >= drainAt) {
                drain();
                drainAt += scenario.drainInterval();
            }
            for (; step < scenario.steps().size() && at >= scenario.steps().get(step).at(); step++) {
                apply(scenario.steps().get(step));
            }
            if (at >= sampleAt || at >= span) {
                samples.take(running(), names(), at, at - sampledAt);
                sampledAt = at;
                sampleAt += SAMPLE_INTERVAL;
            }
        }
        measuredSpan = host.now() - from;
        resources.end();
        external.end(names());
        revokeDrains(true);
        deaths.countUndetected(host.now());
    }

    /** Notifies a single running instance that a node drains; instance and node change each time. */
    private void drain() {
        revokeDrains(false);
        List<SimulatedInstance> running = running();
        ScaleScenario.StateSize state = scenario.state();
        int first = state.drains() + state.unresponsive();
        int free = scenario.nodes() - first - state.rejected();
        if (running.size() < 2 || free < 1 || network.hasPartitions()) {
            return;
        }
        SimulatedInstance notifier = running.get((int) (drainNumber * NOTIFIER_STRIDE % running.size()));
        int node = first + drainNumber % free;
        drainNumber++;
        BitSet waiting = new BitSet();
        running.forEach(i -> waiting.set(i.index()));
        waiting.clear(notifier.index());
        drains.notified(node, notifier.index(), host.now(), waiting);
        notifier.drain(node, true);
    }

    private void revokeDrains(boolean last) {
        for (DrainProbes.Ended ended : drains.endExpired(host.now(), last)) {
            SimulatedInstance notifier = instances.get(ended.notifier());
            if (notifier.isRunning()) {
                notifier.drain(ended.node(), false);
            }
        }
    }

    @Override public void ejected(int instance, double now, Set<String> nodes) {
        drains.ejected(instance, now, nodes);
    }

    @Override public void event(int instance, double now, String kind, String of, long epoch) {
        deaths.reported(instance, now, kind, of, epoch);
    }

    // ---------------------------------------------------------------- faults

    private void apply(ScaleScenario.Step step) throws IOException {
        switch (step.fault()) {
            case KILL -> instancesOf(step).forEach(this::kill);
            case SUSPEND -> instancesOf(step).forEach(this::suspend);
            case RESUME -> instancesOf(step).forEach(this::resume);
            case RESTART -> restart(instancesOf(step));
            case KILL_ZONE -> instancesOfZone(step).forEach(this::kill);
            case RESTART_ZONE -> restart(instancesOfZone(step));
            case PARTITION -> network.partition(step.from(), step.to(), step.oneWay());
            case HEAL -> {
                network.heal();
                deaths.healed(host.now());
            }
            case LOSS -> network.setLoss(step.loss());
        }
    }

    private List<SimulatedInstance> instancesOf(ScaleScenario.Step step) {
        return instances.subList(step.first(), Math.min(instances.size(), step.first() + step.count()));
    }

    private List<SimulatedInstance> instancesOfZone(ScaleScenario.Step step) {
        return instances.stream().filter(i -> scenario.zoneOf(i.index()) == step.zone()).toList();
    }

    private void kill(SimulatedInstance instance) {
        if (instance.isAlive()) {
            instance.kill();
            recordDeath(instance);
        }
    }

    private void suspend(SimulatedInstance instance) {
        if (instance.isRunning()) {
            instance.suspend();
            recordDeath(instance);
        }
    }

    private void recordDeath(SimulatedInstance instance) {
        drains.exclude(instance.index());
        BitSet waiting = new BitSet();
        running().forEach(i -> waiting.set(i.index()));
        deaths.died(instance.index(), host.now(), waiting);
    }

    private void resume(SimulatedInstance instance) {
        if (instance.isAlive() && !instance.isRunning()) {
            deaths.resumed(instance.index(), host.now());
            instance.resume();
        }
    }

    private void restart(List<SimulatedInstance> which) throws IOException {
        which.forEach(this::kill);
        for (SimulatedInstance instance : which) {
            start(instance);
        }
    }

    // ---------------------------------------------------------------- checks

    /** Checks counts and invariants only; the objectives bound latencies and costs. */
    private void verify() {
        int disagreeing = network.hasPartitions() ? 0 : disagreeing();
        if (disagreeing > 0) {
            failures.add("agree: " + disagreeing + " instances do not list exactly the running instances at the end");
        }
        if (deaths.falseFailures() > 0) {
            failures.add("false-failure: " + deaths.falseFailures() + " times a running instance was found dead, first: "
                + deaths.firstFalseFailure());
        }
        if (deaths.undetected() > 0) {
            failures.add("detection: " + deaths.undetected() + " times an instance did not detect a death within "
                + Math.round(deaths.maxDetectionMillis()) + " ms");
        }
        if (drains.missed() > 0) {
            failures.add("drain: " + drains.missed() + " times an instance did not apply a drain that another one"
                + " was notified of, within " + Math.round(DrainProbes.DRAIN_DURATION_MILLIS / 2_000) + " to "
                + Math.round(DrainProbes.DRAIN_DURATION_MILLIS / 1_000) + " s");
        }
    }

    List<String> failures() {
        return failures;
    }

    /** Returns how many full exchanges instances rejected because they already handled as many as they accept. */
    long rejectedExchanges() {
        return running().stream().mapToLong(i -> i.dropped(DropReason.CROWDED)).sum();
    }

    /** Returns the milliseconds from the last start until all listed each other as present; NaN if that did not happen. */
    double joinedAfter() {
        return joinedAfter;
    }

    /** Returns the length of the measurement in milliseconds. */
    double measuredSpan() {
        return measuredSpan;
    }

    Samples samples() {
        return samples;
    }

    DrainProbes drains() {
        return drains;
    }

    FailureDetectionProbes deaths() {
        return deaths;
    }

    ResourceMeter resources() {
        return resources;
    }

    /** Kills all simulated instances. */
    void end() {
        instances.stream().filter(SimulatedInstance::isAlive).forEach(SimulatedInstance::kill);
    }
}
