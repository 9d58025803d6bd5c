package kelphollow.protocol.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;

/** Checks how discovery's JSON form of an endpoint list is parsed and how malformed lists are reported. */
class DiscoveryListParserTest {
    private static final String ROW =
        "{\"host\":\"a\",\"dial\":\"10.1.2.3:7000\",\"site\":\"z\",\"block\":4,\"health\":\"ready\",\"born_ms\":5}";
    private static final String LIST = "{\"seq\":7,\"whole\":true,\"hosts\":[" + ROW + "]}";

    private static DiscoveryList parse(String text) throws IOException {
        return DiscoveryListParser.parse(Json.parse(text));
    }

    private static Endpoint endpoint(String text) throws IOException {
        return parse(text).endpoints().get(0).endpoint();
    }

    @Test void completeListIsParsed() throws IOException {
        DiscoveryList list = parse(LIST);

        assertEquals(7, list.version());
        assertTrue(list.complete());
        assertEquals(1, list.endpoints().size());
        assertEquals(new Endpoint("a", "z", 4, EndpointState.HEALTHY, 5), list.endpoints().get(0).endpoint());
        assertEquals(new InetSocketAddress("10.1.2.3", 7000), list.endpoints().get(0).address());
    }

    @Test void listWithoutTheCompleteFlagIsAChange() throws IOException {
        assertFalse(parse(LIST.replace("\"whole\":true,", "")).complete());
    }

    @Test void eachHealthValueIsMapped() throws IOException {
        assertEquals(EndpointState.DRAINING, endpoint(LIST.replace("ready", "draining")).state());
        assertEquals(EndpointState.REMOVED, endpoint(LIST.replace("ready", "gone")).state());
    }

    @Test void zoneAndStartTimeAreOptional() throws IOException {
        Endpoint endpoint = endpoint(LIST.replace("\"site\":\"z\",", "").replace(",\"born_ms\":5", ""));

        assertNull(endpoint.zone());
        assertEquals(0, endpoint.startedAt());
    }

    @Test void malformedListIsReportedByKey() {
        String[][] faults = {
            {"\"hosts\":", "\"nodes\":", "'hosts' is missing or not a list"},
            {ROW, "7", "an element of 'hosts' is not an object"},
            {"ready", "fine", "'health' is 'fine', expected ready, draining or gone"},
            {"\"host\":\"a\"", "\"host\":\"\"", "'host' is missing or not a text"},
            {"\"block\":4", "\"block\":\"x\"", "'block' is missing or not a number"},
            {"10.1.2.3:7000", "10.1.2.3", "'dial' is '10.1.2.3', not ADDRESS:PORT"},
            {"10.1.2.3:7000", "node.example:7000", "'dial' is 'node.example:7000', not ADDRESS:PORT"},
            {"10.1.2.3:7000", "10.1.2.3:99999", "'dial' is '10.1.2.3:99999', not ADDRESS:PORT"}};

        for (String[] fault : faults) {
            assertTrue(LIST.contains(fault[0]));
            String faulty = LIST.replace(fault[0], fault[1]);
            assertEquals(fault[2],
                assertThrows(IllegalArgumentException.class, () -> parse(faulty), faulty).getMessage());
        }
    }
}
