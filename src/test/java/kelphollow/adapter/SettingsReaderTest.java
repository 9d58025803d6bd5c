package kelphollow.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;
import kelphollow.decision.ControlSettings.Plan;
import kelphollow.decision.ControlSettings.RequestClass;
import kelphollow.decision.ControlSettings.Rules;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;

/** Decoding of an instance's settings from the keys of the wire. */
class SettingsReaderTest {
    private static ControlSettings read(String json) throws Exception {
        return SettingsReader.read((Map<?, ?>) Json.parse(json.replace('\'', '"')));
    }

    @Test void eachKeyMapsToItsSetting() throws Exception {
        ControlSettings settings = read("{'me':1,'fleet_size':2,'my_zone':'z','tick':3,'discovery':'subscribe',"
            + "'ceilings':{'most_tries':4,'open_cap':5,'cancel':true,'retry_after':true,'max_retry_after':6},"
            + "'extra':{'unit_mean':7,'share_worth':8,'beyond_share':9,'young_limit':10},"
            + "'contract':{'drain_grace':11,'cold_share':12,'cold':13,'tip_multiple':14,'fall':15,'key_rest':16,"
            + "'extra_floor':17,'extra_ratio':18,'counted_over':19,'ask_every':20},"
            + "'request_classes':[{'name':'c','aim':21,'deadline':22,'worth':23,'late_share':24,'effect':'token',"
            + "'dedup_scope':'zone','window':25,'sequential':true,'streaming':true}],"
            + "'grades':[{'name':'g','rate':26,'reserve':27,'proportion':28,'value_factor':29,'ceiling_rate':30,"
            + "'limit_burst':31,'tolerance':32}]}");

        assertEquals(new ControlSettings(1, 2, "z", 3, 4, 5, true, true, 6, 7, 8, 9,
            List.of(new RequestClass("c", 21, 22, 23, 24, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 25, true,
                true)),
            List.of(new Plan("g", 26, 27, 28, 29, 30, 31, 32)), new Rules(11, 12, 13, 14, 15, 10, 16, 17, 18, 19, 20)),
            settings);
    }

    @Test void missingKeysAreZeroFalseOrEmpty() throws Exception {
        ControlSettings settings = read("{'request_classes':[{'name':'c'}],'grades':[{'name':'g','ceiling_rate':null}]}");

        assertEquals(new ControlSettings(0, 0, "", 0, 0, 0, false, false, 0, 0, 0, 0,
            List.of(new RequestClass("c", 0, 0, 0, 0, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.CELL, 0, false, false)),
            List.of(new Plan("g", 0, 0, 0, 0, 0, 0, 0)), new Rules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)), settings);
    }

    @Test void maxRetryAfterIsZeroUnlessRetryAfterIsEnabled() throws Exception {
        assertEquals(0, read("{'ceilings':{'max_retry_after':6}}").maxRetryAfter());
    }

    @Test void unknownNamesAndWrongTypesAreRejected() {
        assertEquals("unknown effect odd", error("{'request_classes':[{'name':'c','effect':'odd'}]}"));
        assertEquals("unknown dedup_scope odd", error("{'request_classes':[{'name':'c','dedup_scope':'odd'}]}"));
        assertEquals("request_classes name must be a string, found null", error("{'request_classes':[{}]}"));
        assertEquals("grades element must be an object, found 7.0", error("{'grades':[7]}"));
    }

    private static String error(String json) {
        return assertThrows(MalformedMessageException.class, () -> read(json)).getMessage();
    }
}
