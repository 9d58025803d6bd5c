package kelphollow.decision;

import kelphollow.decision.ControlSettings.Plan;

/**
 * The limit gate: this host's even part of the plan's store. An instance just started cannot know what
 * its life before has drawn, up to the moment this one was started: it starts with a loan on the rule's
 * slack only, and pays it back. Guards against a fleet that refuses its first seconds when it starts.
 */
final class Gate {
    // Part of a limit's slack that instances may spend at their start, all hosts together; the rest of it is
    // for what is late on its way. It is paid back by this part of the rate, before the next start is likely.
    private static final double LOAN = 0.75;
    private static final double PAY_BACK = 0.25;
    private final Plan plan;
    int hosts;
    double owed;
    private double level, at, rate, burst;

    Gate(Plan plan, int hosts, double startedAt) {
        this.plan = plan;
        at = startedAt;
        share(hosts, startedAt);
        level = owed = Math.min(burst, LOAN * plan.limitSlack() / hosts);
    }

    /** The newest count of hosts binds: a smaller part is cut at once, a larger one only fills faster. */
    void share(int among, double now) {
        fill(now);
        hosts = among;
        rate = plan.limitRate() / hosts / 1000;
        burst = plan.limitBurst() / hosts;
    }

    /** The store was never empty: its level goes on from what the life or process before left. */
    void left(Double units, double now) {
        if (units == null) return;
        level = Math.min(burst, units);
        owed = 0;
        at = now;                      // the level is as of now
    }

    double fill(double now) {
        double gained = (now - at) * rate, back = Math.min(owed, PAY_BACK * gained);
        owed -= back;
        level = Math.min(burst - owed, level + gained - back);
        at = now;
        return level;
    }

    boolean allows(double units, double now) { return rate <= 0 || fill(now) >= units; }

    void draw(double units) { if (rate > 0) level -= units; }

    /** How long until the store holds these units, what is paid back meanwhile included. */
    double wait(double units, double now) {
        if (allows(units, now)) return 0;
        double lacks = units - level;
        return (lacks + Math.min(owed, lacks * PAY_BACK / (1 - PAY_BACK))) / rate;
    }

    /** True when the limit holds these units only after this time. */
    boolean fillsLate(double units, double by, double now) {
        return rate > 0 && wait(units, now) > by - now;
    }
}
