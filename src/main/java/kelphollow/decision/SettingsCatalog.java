package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;

/** Validated request classes and plans by name. Confined to the thread that drives {@link Control}. */
final class SettingsCatalog {
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final double shortestObjective;

    /** @throws IllegalArgumentException naming the first invalid setting */
    SettingsCatalog(ControlSettings settings) {
        require(settings.instances() > 0, "instances is " + settings.instances() + ", must be at least 1");
        require(settings.maxAttempts() > 0,
            "maxAttempts is " + settings.maxAttempts() + ", must be at least 1");
        require(!settings.classes().isEmpty(), "classes is empty");
        require(!settings.plans().isEmpty(), "plans is empty");
        double shortest = Double.POSITIVE_INFINITY;
        for (RequestClass c : settings.classes()) {
            require(c.latencyObjective() > 0, "aim of class " + c.name() + " is " + c.latencyObjective()
                + ", must be above 0");
            classes.put(c.name(), c);
            shortest = Math.min(shortest, c.latencyObjective());
        }
        for (Plan p : settings.plans()) {
            require(p.rate() > 0, "rate of plan " + p.name() + " is " + p.rate() + ", must be above 0");
            require(p.limitRate() >= 0 && p.limitBurst() >= 0,
                "limit of plan " + p.name() + " is negative: rate " + p
                    .limitRate() + ", burst " + p.limitBurst());
            plans.put(p.name(), p);
        }
        shortestObjective = shortest;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException("settings: " + fault);
        }
    }

    /** Shortest latency objective of the initial settings, milliseconds; a reload does not change it. */
    double shortestObjective() {
        return shortestObjective;
    }

    /** Adds or replaces the reloaded classes; other classes stay. */
    void reload(List<RequestClass> reloaded) {
        reloaded.forEach(c -> classes.put(c.name(), c));
    }

    /** The class with this name, or null. */
    RequestClass requestClass(String name) {
        return classes.get(name);
    }

    /** The plan with this name, or null. */
    Plan plan(String name) {
        return plans.get(name);
    }
}
