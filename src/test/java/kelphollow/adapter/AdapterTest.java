package kelphollow.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

/** The adapter over a pair of streams: replies, malformed input and invalid settings. */
class AdapterTest {
    private static final String PARAMS = "{\"ceilings\":{\"cancel\":true,\"most_tries\":3,\"open_cap\":100},"
        + "\"contract\":{\"cold\":1000.0,\"cold_share\":0.3,\"fall\":1000.0},\"discovery\":\"subscribe\",\"novel\":1,"
        + "\"extra\":{\"unit_mean\":2.0,\"young_limit\":6.0},\"fleet_size\":2,\"me\":0,\"my_zone\":\"a\",\"tick\":2.0,"
        + "\"grades\":[{\"name\":\"basic\",\"rate\":5.0,\"ceiling_rate\":null}],"
        + "\"request_classes\":[{\"name\":\"r\",\"aim\":300.0,\"deadline\":2000.0,\"effect\":\"pure\",\"worth\":1}]}";
    private static final String START = "{\"at_time\":10.0,\"parts\":[{\"initiator_id\":\"initiator_0\",\"input\":["
        + "[\"ENLIST\",5," + PARAMS + "],[\"ROSTER\",0,[[\"10.0.0.1:1\",\"a\",\"k\",0,\"healthy\",1,null]]],"
        + "[\"ENDPOINTS\",0,1,\"Persisted\"]]}]}";

    private static String[] run(String... lines) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = AdapterLoop.run(new BufferedReader(new StringReader(String.join("\n", lines))), out, new PrintStream(
            err));
        return new String[] {String.valueOf(code), out.toString(), err.toString()};
    }

    private static String batch(String event) {
        return "{\"at_time\":12.0,\"parts\":[{\"initiator_id\":\"initiator_0\",\"input\":[" + event + "]}]}";
    }

    @Test void aRequestIsSentAndCompletedByItsResult() {
        String[] r = run("{\"at_time\":1,\"parts\":[]}", START,
            batch("[\"NEW_REQUEST\",\"id-1\",\"r\",\"basic\",null,2012.0,\"v\",2,0,1,0]"),
            batch("[\"RESULT\",\"id-1\",true,0,\"10.0.0.1:1\",18.5,\"pass\"]"), batch("[\"DOWN\"]"));
        assertEquals("0", r[0], r[2]);
        String[] replies = r[1].split("\n");
        assertEquals("{\"parts\":[]}", replies[0]);
        assertTrue(replies[1].contains("[\"WATCH\",true]"));
        assertTrue(replies[2].contains("[\"SEND\",\"id-1\",\"10.0.0.1:1\"]"), replies[2]);
        assertFalse(replies[3].contains("SEND"));
        assertEquals("{\"parts\":[]}", replies[4]);
    }

    @Test void malformedInputEndsTheLoopWithOneLineOnStderr() {
        for (String bad : new String[] {"{\"at_time\":", "[]", batch("[\"REMINDER\",\"x\"]"), batch("[\"ODD\"]")}) {
            String[] r = run("{\"at_time\":1,\"parts\":[]}", bad);
            assertEquals("1", r[0]);
            assertEquals("{\"parts\":[]}\n", r[1], "no partial reply is written");
            assertTrue(r[2].startsWith("kelphollow adapter: line 2: "), r[2]);
            assertEquals(1, r[2].strip().split("\n").length);
        }
        String[] r = run(START, batch("[\"ENDPOINTS\",9,2,\"Complete\"]"));
        assertEquals("1", r[0]);
        assertTrue(r[2].contains("ENDPOINTS"));
    }

    @Test void invalidSettingsAreReportedAsAnInternalError() {
        String[] r = run(START.replace("5.0,\"ceiling", "-5.0,\"ceiling"));
        assertEquals("0", r[0]);
        assertTrue(r[1].contains("\"BUG\",\"initiator_0 ENLIST") && r[1].contains("rate of plan basic"), r[1]);
    }
}
