package kelphollow.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;

/** The checked classes and plans by name. Confined to the thread that drives {@link Control}. */
final class SettingsCatalog {
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final double shortestObjective;

    /** @throws IllegalArgumentException naming the first setting that cannot be used */
    SettingsCatalog(ControlSettings settings) {
        require(settings.instances() > 0, "instances must be at least 1");
        require(settings.maxAttempts() > 0, "maxAttempts must be at least 1");
        require(!settings.classes().isEmpty(), "classes is empty");
        require(!settings.plans().isEmpty(), "plans is empty");
        double shortest = Double.POSITIVE_INFINITY;
        for (RequestClass c : settings.classes()) {
            require(c.latencyObjective() > 0, "aim of class " + c.name() + " must be above 0");
            classes.put(c.name(), c);
            shortest = Math.min(shortest, c.latencyObjective());
        }
        for (Plan p : settings.plans()) {
            require(p.rate() > 0, "rate of plan " + p.name() + " must be above 0");
            require(p.limitRate() >= 0 && p.limitBurst() >= 0, "limit of plan " + p.name() + " is negative");
            plans.put(p.name(), p);
        }
        shortestObjective = shortest;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException("settings: " + fault);
        }
    }

    /** The smallest latency objective at the start, milliseconds; reloaded settings do not change it. */
    double shortestObjective() {
        return shortestObjective;
    }

    /** Takes over reloaded classes; those that are not among them stay. */
    void reload(List<RequestClass> reloaded) {
        reloaded.forEach(c -> classes.put(c.name(), c));
    }

    /** The class of this name; null when there is none. */
    RequestClass requestClass(String name) {
        return classes.get(name);
    }

    /** The plan of this name; null when there is none. */
    Plan plan(String name) {
        return plans.get(name);
    }
}
