package kelphollow.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What the parts of one {@link Membership} share: settings, the time of the current call, the random source and the queued
 * outputs. Not thread-safe.
 */
final class MembershipContext {
    private final MembershipSettings settings;
    private final String self;
    private final RandomGenerator random;
    private List<MembershipOutput> outputs = new ArrayList<>();
    private double now;
    private long lastSequence;

    MembershipContext(MembershipSettings settings, String self, RandomGenerator random, double now) {
        this.settings = settings;
        this.self = self;
        this.random = random;
        this.now = now;
    }

    MembershipSettings settings() {
        return settings;
    }

    /** Name of this instance. */
    String self() {
        return self;
    }

    RandomGenerator random() {
        return random;
    }

    /** Time of the current call, in milliseconds; never runs backwards. */
    double now() {
        return now;
    }

    void advanceTo(double at) {
        now = Math.max(now, at);
    }

    /** An unused sequence number for a probe. */
    long nextSequence() {
        return ++lastSequence;
    }

    void send(String to, Message message) {
        outputs.add(new MembershipOutput.Send(to, message));
    }

    void emit(MembershipOutput.Kind kind, String name, long epoch, String reason) {
        outputs.add(new MembershipOutput.Event(kind, name, epoch, reason));
    }

    void add(MembershipOutput output) {
        outputs.add(output);
    }

    /** The outputs queued since the last call of this method. */
    List<MembershipOutput> takeOutputs() {
        List<MembershipOutput> taken = outputs;
        outputs = new ArrayList<>();
        return taken;
    }

    /** Fisher-Yates shuffle, with one random number per element. */
    void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }
}
