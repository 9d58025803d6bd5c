package kelphollow.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import kelphollow.protocol.peer.DropReason;

/**
 * Plays one scenario: starts all instances, waits until they see each other, then measures for the scenario's time while it
 * injects faults and tells drains. All decisions are the instances' own. For the thread of the run.
 */
final class ScaleRun implements SimulatedInstance.Observer {
    /** How long instances may take to see each other beyond the warm-up, in milliseconds. */
    static final double JOIN_PATIENCE = 60_000;
    private static final double SAMPLE_EVERY = 1_000;
    private static final double JOIN_LOOK = 500;

    /** The rest of a fleet: instances that are processes. */
    interface Others {
        /** No processes. */
        Others NONE = new Others() {
            @Override public Set<String> names() {
                return Set.of();
            }

            @Override public void begin() {}

            @Override public void end(Set<String> running) {}
        };

        /** Names of those that run. */
        Set<String> names();

        /** Marks where the measurement begins. */
        void begin() throws IOException;

        /** Marks its end, with the names of all that run then. */
        void end(Set<String> running) throws IOException;
    }

    private final ScaleScenario scenario;
    private final FleetHost host;
    private final NetworkModel network;
    private final Others others;
    private final List<SimulatedInstance> instances = new ArrayList<>();
    private final DrainProbes drains;
    private final DeathProbes deaths;
    private final Samples samples;
    private final List<String> failures = new ArrayList<>();
    private final Processor processor = new Processor();
    private double joinedAfter = Double.NaN, measuredSpan;
    private int drainNumber;

    ScaleRun(ScaleScenario scenario, FleetHost host, NetworkModel network, Others others, long seed) {
        this.scenario = scenario;
        this.host = host;
        this.network = network;
        this.others = others;
        this.drains = new DrainProbes(scenario);
        this.deaths = new DeathProbes(scenario, network);
        this.samples = new Samples(scenario);
        for (int i = 0; i < scenario.hollow(); i++) {
            instances.add(new SimulatedInstance(scenario, i, host, network, this, seed));
        }
    }

    /** Plays the scenario; what did not hold is in {@link #failures} afterwards. */
    void play() throws IOException, InterruptedException {
        processor.beforeStart();
        for (SimulatedInstance instance : instances) {
            begin(instance);
        }
        if (!join()) {
            failures.add("agree: the instances did not all see each other within "
                + Math.round((scenario.warmup() + JOIN_PATIENCE) / 1_000) + " s");
        }
        measure();
        verify();
    }

    private void begin(SimulatedInstance instance) throws IOException {
        instance.start();
        deaths.started(instance.index(), instance.epoch());
    }

    private boolean join() throws InterruptedException {
        double from = host.now(), until = from + scenario.warmup();
        while (host.now() < until + JOIN_PATIENCE && (host.now() < until || Double.isNaN(joinedAfter))) {
            host.advance(JOIN_LOOK);
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
        Set<String> names = new HashSet<>(others.names());
        running().forEach(i -> names.add(ScaleScenario.nameOf(i.index())));
        return names;
    }

    /** How many running instances see others than just the running ones. */
    private int disagreeing() {
        Set<String> names = names();
        int count = 0;
        for (SimulatedInstance instance : running()) {
            Set<String> seen = new HashSet<>(instance.present());
            seen.add(ScaleScenario.nameOf(instance.index()));
            count += seen.equals(names) ? 0 : 1;
        }
        return count;
    }

    // ---------------------------------------------------------------- measuring

    private void measure() throws IOException, InterruptedException {
        double from = host.now(), span = scenario.seconds() * 1_000;
        double sampleAt = SAMPLE_EVERY, drainAt = scenario.drainEvery() / 2, sampled = 0;
        int step = 0;
        host.lateness();
        samples.begin(running());
        deaths.begin();
        others.begin();
        processor.begin();
        for (double at = 0; at < span; at = host.now() - from) {
            double next = Math.min(span, sampleAt);
            next = scenario.drainEvery() > 0 ? Math.min(next, drainAt) : next;
            next = step < scenario.steps().size() ? Math.min(next, scenario.steps().get(step).at()) : next;
            host.advance(Math.max(0, next - at));
            at = host.now() - from;
            if (scenario.drainEvery() > 0 && at >= drainAt) {
                drain();
                drainAt += scenario.drainEvery();
            }
            for (; step < scenario.steps().size() && at >= scenario.steps().get(step).at(); step++) {
                act(scenario.steps().get(step));
            }
            if (at >= sampleAt || at >= span) {
                samples.take(running(), names(), at, at - sampled);
                sampled = at;
                sampleAt += SAMPLE_EVERY;
            }
        }
        measuredSpan = host.now() - from;
        processor.end();
        others.end(names());
        takeBack(true);
        deaths.end(host.now());
    }

    /** Tells one running instance alone that a node drains, another one and another node each time. */
    private void drain() {
        takeBack(false);
        List<SimulatedInstance> running = running();
        ScaleScenario.PartSize part = scenario.part();
        int first = part.drains() + part.silent(), free = scenario.nodes() - first - part.rejected();
        if (running.size() < 2 || free < 1 || network.hasCuts()) {
            return;
        }
        SimulatedInstance teller = running.get((int) (drainNumber * 7919L % running.size()));
        int node = first + drainNumber++ % free;
        BitSet waiting = new BitSet();
        running.forEach(i -> waiting.set(i.index()));
        waiting.clear(teller.index());
        drains.told(node, teller.index(), host.now(), waiting);
        teller.drain(node, true);
    }

    private void takeBack(boolean last) {
        for (DrainProbes.Ended ended : drains.end(host.now(), last)) {
            SimulatedInstance teller = instances.get(ended.teller());
            if (teller.isRunning()) {
                teller.drain(ended.node(), false);
            }
        }
    }

    @Override public void ejected(int instance, double now, Set<String> nodes) {
        drains.ejected(instance, now, nodes);
    }

    @Override public void event(int instance, double now, String kind, String of, long epoch) {
        deaths.event(instance, now, kind, of, epoch);
    }

    // ---------------------------------------------------------------- faults

    private void act(ScaleScenario.Step step) throws IOException {
        switch (step.fault()) {
            case KILL -> some(step).forEach(this::kill);
            case STOP -> some(step).forEach(this::stop);
            case WAKE -> some(step).forEach(this::wake);
            case RESTART -> restart(some(step));
            case KILL_ZONE -> zone(step).forEach(this::kill);
            case RESTART_ZONE -> restart(zone(step));
            case CUT -> network.cut(step.from(), step.to(), step.oneWay());
            case HEAL -> {
                network.heal();
                deaths.healed(host.now());
            }
            case LOSS -> network.loss(step.loss());
        }
    }

    private List<SimulatedInstance> some(ScaleScenario.Step step) {
        return instances.subList(step.first(), Math.min(instances.size(), step.first() + step.count()));
    }

    private List<SimulatedInstance> zone(ScaleScenario.Step step) {
        return instances.stream().filter(i -> scenario.zoneOf(i.index()) == step.zone()).toList();
    }

    private void kill(SimulatedInstance instance) {
        if (instance.isAlive()) {
            instance.kill();
            down(instance);
        }
    }

    private void stop(SimulatedInstance instance) {
        if (instance.isRunning()) {
            instance.stop();
            down(instance);
        }
    }

    private void down(SimulatedInstance instance) {
        drains.excuse(instance.index());
        BitSet waiting = new BitSet();
        running().forEach(i -> waiting.set(i.index()));
        deaths.died(instance.index(), host.now(), waiting);
    }

    private void wake(SimulatedInstance instance) {
        if (instance.isAlive() && !instance.isRunning()) {
            deaths.woken(instance.index(), host.now());
            instance.wake();
        }
    }

    private void restart(List<SimulatedInstance> which) throws IOException {
        which.forEach(this::kill);
        for (SimulatedInstance instance : which) {
            begin(instance);
        }
    }

    // ---------------------------------------------------------------- verdict

    /** Counts and invariants only: how fast things are is a matter of the aims. */
    private void verify() {
        int disagreeing = network.hasCuts() ? 0 : disagreeing();
        if (disagreeing > 0) {
            failures.add("agree: " + disagreeing + " instances see others than just the running ones at the end");
        }
        if (deaths.falseFailures() > 0) {
            failures.add("false-failure: " + deaths.falseFailures() + " findings that a running instance is dead, at first "
                + deaths.firstFalse());
        }
        if (deaths.undetected() > 0) {
            failures.add("detection: " + deaths.undetected() + " times an instance did not find a death within "
                + Math.round(deaths.longestDetection()) + " ms");
        }
        if (drains.missed() > 0) {
            failures.add("drain: " + drains.missed() + " times an instance did not keep a drain another one was told,"
                + " within " + Math.round(DrainProbes.STANDS / 2_000) + " to "
                + Math.round(DrainProbes.STANDS / 1_000) + " s");
        }
    }

    List<String> failures() {
        return failures;
    }

    /** Callers that were turned away by an instance that already had as many as it takes. */
    long crowded() {
        return running().stream().mapToLong(i -> i.dropped(DropReason.CROWDED)).sum();
    }

    /** Milliseconds from the last start until all saw each other; NaN if they never did. */
    double joinedAfter() {
        return joinedAfter;
    }

    /** Milliseconds that were measured. */
    double measuredSpan() {
        return measuredSpan;
    }

    Samples samples() {
        return samples;
    }

    DrainProbes drains() {
        return drains;
    }

    DeathProbes deaths() {
        return deaths;
    }

    Processor processor() {
        return processor;
    }

    /** Ends all hollow instances. */
    void end() {
        instances.stream().filter(SimulatedInstance::isAlive).forEach(SimulatedInstance::kill);
    }
}
