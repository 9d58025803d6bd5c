package kelphollow.adapter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;

/** Reads the settings of an instance from the wire's first message. Unknown keys are skipped. */
public final class SettingsReader {
    private SettingsReader() {}

    public static ControlSettings read(Map<?, ?> params) throws Adapter.BadInput {
        Map<?, ?> ceilings = part(params, "ceilings");
        Map<?, ?> rules = part(params, "contract");
        Map<?, ?> extra = part(params, "extra");
        List<ControlSettings.RequestClass> classes = new ArrayList<>();
        for (Object item : items(params, "request_classes")) {
            Map<?, ?> c = Adapter.object(item, "request_classes");
            String effect = word(c, "effect", "side_effect");
            String scope = word(c, "dedup_scope", "cell");
            classes.add(new ControlSettings.RequestClass(Adapter.text(c.get("name"), "request_classes name"),
                value(c, "aim"), value(c, "deadline"), value(c, "worth"), value(c, "late_share"),
                switch (effect) {
                    case "pure" -> ControlSettings.Idempotency.IDEMPOTENT;
                    case "token" -> ControlSettings.Idempotency.IDEMPOTENCY_KEY;
                    case "side_effect" -> ControlSettings.Idempotency.NOT_IDEMPOTENT;
                    default -> throw new Adapter.BadInput("unknown effect " + effect);
                },
                switch (scope) {
                    case "all" -> ControlSettings.DeduplicationScope.ALL;
                    case "zone" -> ControlSettings.DeduplicationScope.ZONE;
                    case "cell" -> ControlSettings.DeduplicationScope.CELL;
                    default -> throw new Adapter.BadInput("unknown dedup_scope " + scope);
                },
                value(c, "window"), flag(c, "sequential"), flag(c, "streaming")));
        }
        List<ControlSettings.Plan> plans = new ArrayList<>();
        for (Object item : items(params, "grades")) {
            Map<?, ?> g = Adapter.object(item, "grades");
            plans.add(new ControlSettings.Plan(Adapter.text(g.get("name"), "grades name"), value(g, "rate"),
                value(g, "reserve"), value(g, "proportion"), value(g, "value_factor"),
                value(g, "ceiling_rate"), value(g, "limit_burst"), value(g, "tolerance")));
        }
        return new ControlSettings((int) value(params, "me"), (int) value(params, "fleet_size"),
            word(params, "my_zone", ""), value(params, "tick"), (int) value(ceilings, "most_tries"),
            (int) value(ceilings, "open_cap"), flag(ceilings, "cancel"),
            word(params, "discovery", "automatic").equals("subscribe"),
            flag(ceilings, "retry_after") ? value(ceilings, "max_retry_after") : 0, value(extra, "unit_mean"),
            value(extra, "share_worth"), value(extra, "beyond_share"),
            List.copyOf(classes), List.copyOf(plans),
            new ControlSettings.Rules(value(rules, "drain_grace"), value(rules, "cold_share"), value(rules, "cold"),
                value(rules, "tip_multiple"), value(rules, "fall"), value(extra, "young_limit"),
                value(rules, "key_rest"), value(rules, "extra_floor"), value(rules, "extra_ratio"),
                value(rules, "counted_over"), value(rules, "ask_every")));
    }

    private static Map<?, ?> part(Map<?, ?> map, String key) {
        return map.get(key) instanceof Map<?, ?> m ? m : Map.of();
    }

    private static List<?> items(Map<?, ?> map, String key) {
        return map.get(key) instanceof List<?> l ? l : List.of();
    }

    private static double value(Map<?, ?> map, String key) {
        return map.get(key) instanceof Double d ? d : 0;
    }

    private static boolean flag(Map<?, ?> map, String key) {
        return Boolean.TRUE.equals(map.get(key));
    }

    private static String word(Map<?, ?> map, String key, String absent) {
        return map.get(key) instanceof String s ? s : absent;
    }
}
