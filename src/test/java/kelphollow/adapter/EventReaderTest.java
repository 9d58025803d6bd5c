package kelphollow.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.TimerFired;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decoding of wire messages into events of the decision module. */
class EventReaderTest {
    private final EventReader reader = new EventReader();

    private static List<?> message(String json) throws IOException {
        return (List<?>) Json.parse(json);
    }

    private ControlEvent read(String json) throws IOException, MalformedMessageException {
        List<?> message = message(json);
        return reader.read((String) message.get(0), message);
    }

    @Test void allFieldsOfARequestAreDecoded() throws Exception {
        assertEquals(new RequestArrived("id", "r", "basic", "key", 2_012, "v", 2, 3, 4),
            read("[\"NEW_REQUEST\",\"id\",\"r\",\"basic\",\"key\",2012.0,\"v\",2,3,4]"));
    }

    @Test void missingFieldsOfARequestHaveDefaults() throws Exception {
        assertEquals(new RequestArrived("id", "r", null, null, 2_012, null, 1, -1, 1),
            read("[\"NEW_REQUEST\",\"id\",\"r\",null,null,2012.0]"));
    }

    @ParameterizedTest
    @CsvSource({"pass, SERVED", "fault, ERROR", "no_room, AT_CAPACITY", "too_slow, TIMED_OUT", "no_route, CONNECT_FAILED",
        "cut, RESET", "undone, CANCELLED", "stale_send, NOT_SENT"}) void eachVerdictMapsToAnOutcome(String verdict,
            AttemptOutcome outcome) throws Exception {
        AttemptEnded ended = (AttemptEnded) read("[\"RESULT\",\"id\",true,1,\"n\",18.5,\"" + verdict + "\"]");

        assertEquals(new AttemptEnded("id", 1, "n", outcome, 18.5, true, false, 0, -1, Map.of()), ended);
    }

    @Test void usageAndLoadReportOfAResultAreDecoded() throws Exception {
        AttemptEnded ended = (AttemptEnded) read("[\"RESULT\",\"id\",false,0,\"n\",18.5,\"pass\",7.5,41,"
            + "{\"busy_reqs\":3,\"svc_ms\":12.5,\"other\":1}]");

        assertEquals(7.5, ended.unitsElsewhere());
        assertEquals(40, ended.usagePercent());
        assertEquals(Map.of("inFlight", 3.0, "serviceTime", 12.5), ended.loadReport());
    }

    @Test void disconnectsResponseStartsAndTimersAreDecoded() throws Exception {
        assertEquals(new ClientDisconnected("id"), read("[\"VANISHED\",\"id\"]"));
        assertEquals(new ResponseStarted("id", 2), read("[\"OPENED\",\"id\",null,null,2]"));
        assertEquals(new TimerFired("wake"), read("[\"REMINDER\",\"wake\"]"));
    }

    @Test void eventsThatTheModuleDoesNotHandleAreSkipped() throws Exception {
        assertNull(read("[\"INBOX\"]"));
        assertNull(read("[\"PROBED\"]"));
    }

    @ParameterizedTest
    @CsvSource({"Partial, false, false", "Complete, true, false",
        "Persisted, true, true"}) void eachFormRefersToAStoredListByNumber(String form, boolean complete, boolean cached)
            throws Exception {
        reader.storeEndpointList(message("[\"ROSTER\",5,[[\"10.0.0.1:1\",\"a\",\"k\",3,\"cordoned\",1,77.5]]]"));

        assertEquals(new EndpointsReceived(List.of(new Endpoint("10.0.0.1:1", "a", 3, EndpointState.DRAINING, 77.5)),
            complete, cached), read("[\"ENDPOINTS\",5,1,\"" + form + "\"]"));
    }

    @ParameterizedTest
    @CsvSource({"healthy, HEALTHY", "cordoned, DRAINING", "deregistered, REMOVED"}) void eachPhaseMapsToAnEndpointState(
        String phase,
        EndpointState state) throws Exception {
        reader.storeEndpointList(message("[\"ROSTER\",5,[[\"n\",null,\"k\",0,\"" + phase + "\"]]]"));

        EndpointsReceived list = (EndpointsReceived) read("[\"ENDPOINTS\",5,1,\"Complete\"]");
        assertEquals(List.of(new Endpoint("n", null, 0, state, 0)), list.endpoints());
    }

    @Test void aFailedPollNeedsNoList() throws Exception {
        assertEquals(new EndpointPollFailed(EndpointPollFailure.WATCH_BROKEN), read("[\"ENDPOINTS\",9,1,\"Error\"]"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"[\"ODD\"]|unknown event ODD",
        "[\"ENDPOINTS\",9,1,\"Complete\"]|ENDPOINTS refers to list 9.0, which no ROSTER has defined",
        "[\"RESULT\",\"id\",true,1,\"n\",1,\"odd\"]|unknown verdict odd",
        "[\"VANISHED\",7]|corr must be a string, found 7.0",
        "[\"RESULT\",\"id\",true,\"x\",\"n\",1,\"pass\"]|send_no must be a number, found x",
        "[\"RESULT\",\"id\",true,1,\"n\",1,\"pass\",0,0,5]|metrics must be an object, found 5.0"}) void errorNamesTheValue(
            String json, String error) {
        assertEquals(error, assertThrows(MalformedMessageException.class, () -> read(json)).getMessage());
    }

    @Test void errorOnAListNamesTheValue() throws Exception {
        List<?> phase = message("[\"ROSTER\",5,[[\"n\",null,\"k\",0,\"odd\"]]]");
        List<?> rows = message("[\"ROSTER\",5,7]");

        assertEquals("unknown phase odd",
            assertThrows(MalformedMessageException.class, () -> reader.storeEndpointList(phase)).getMessage());
        assertEquals("rows must be an array, found 7.0",
            assertThrows(MalformedMessageException.class, () -> reader.storeEndpointList(rows)).getMessage());
    }
}
