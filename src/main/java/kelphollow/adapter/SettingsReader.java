package kelphollow.adapter;

import static kelphollow.adapter.JsonFields.listOrEmpty;
import static kelphollow.adapter.JsonFields.numberOr;
import static kelphollow.adapter.JsonFields.object;
import static kelphollow.adapter.JsonFields.objectOrEmpty;
import static kelphollow.adapter.JsonFields.text;
import static kelphollow.adapter.JsonFields.textOr;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;

/**
 * Decodes the settings of an instance from the message that starts it. This class maps each wire key to its setting.
 * Unknown keys are ignored; missing ones default to 0, false or empty.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Decodes the settings.
     *
     * @param params the settings object of the message, as parsed by {@link kelphollow.protocol.json.Json}
     * @throws MalformedMessageException naming the value that has the wrong type or is not a known name
     */
    public static ControlSettings read(Map<?, ?> params) throws MalformedMessageException {
        Map<?, ?> ceilings = objectOrEmpty(params.get("ceilings"));
        Map<?, ?> extra = objectOrEmpty(params.get("extra"));
        List<RequestClass> classes = new ArrayList<>();
        for (Object item : listOrEmpty(params.get("request_classes"))) {
            classes.add(requestClass(object(item, "request_classes element")));
        }
        List<Plan> plans = new ArrayList<>();
        for (Object item : listOrEmpty(params.get("grades"))) {
            plans.add(plan(object(item, "grades element")));
        }
        boolean endpointsPolled = textOr(params.get("discovery"), "automatic").equals("subscribe");
        double maxRetryAfter = isTrue(ceilings, "retry_after") ? number(ceilings, "max_retry_after") : 0;
        return new ControlSettings((int) number(params, "me"), (int) number(params, "fleet_size"),
            textOr(params.get("my_zone"), ""), number(params, "tick"), (int) number(ceilings, "most_tries"),
            (int) number(ceilings, "open_cap"), isTrue(ceilings, "cancel"), endpointsPolled, maxRetryAfter,
            number(extra, "unit_mean"), number(extra, "share_worth"), number(extra, "beyond_share"),
            List.copyOf(classes), List.copyOf(plans), rules(objectOrEmpty(params.get("contract")), extra));
    }

    private static RequestClass requestClass(Map<?, ?> map) throws MalformedMessageException {
        String idempotency = textOr(map.get("effect"), "side_effect");
        String scope = textOr(map.get("dedup_scope"), "cell");
        return new RequestClass(text(map.get("name"), "request_classes name"), number(map, "aim"),
            number(map, "deadline"), number(map, "worth"), number(map, "late_share"),
            WireNames.idempotency(idempotency), WireNames.deduplicationScope(scope), number(map, "window"),
            isTrue(map, "sequential"), isTrue(map, "streaming"));
    }

    private static Plan plan(Map<?, ?> map) throws MalformedMessageException {
        return new Plan(text(map.get("name"), "grades name"), number(map, "rate"), number(map, "reserve"),
            number(map, "proportion"), number(map, "value_factor"), number(map, "ceiling_rate"),
            number(map, "limit_burst"), number(map, "tolerance"));
    }

    private static Rules rules(Map<?, ?> contract, Map<?, ?> extra) {
        return new Rules(number(contract, "drain_grace"), number(contract, "cold_share"), number(contract, "cold"),
            number(contract, "tip_multiple"), number(contract, "fall"), number(extra, "young_limit"),
            number(contract, "key_rest"), number(contract, "extra_floor"), number(contract, "extra_ratio"),
            number(contract, "counted_over"), number(contract, "ask_every"));
    }

    private static double number(Map<?, ?> map, String key) {
        return numberOr(map.get(key), 0);
    }

    private static boolean isTrue(Map<?, ?> map, String key) {
        return Boolean.TRUE.equals(map.get(key));
    }
}
