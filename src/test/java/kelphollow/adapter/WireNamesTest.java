package kelphollow.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;

/** Names in the simulator's wire format: recorded input must give the recorded replies, byte for byte. */
class WireNamesTest {
    private static final Path WIRE_FORMAT = Path.of("deploy/sites/wire.json");
    private static final String UNKNOWN_NAME = "no-such-name";
    private static final String EXIT_OK = "0";
    private static final String EXIT_ERROR = "1";
    /** Index of the input line that starts an instance and sends its first endpoint list. */
    private static final int START_LINE = 1;
    private static final Pattern REPLY_NAME = Pattern.compile("\\[\"([A-Z_]+)\"");

    /** Exit code, replies and error output of a run. */
    private record Run(String code, String replies, String error) {}

    private static Run run(List<String> lines) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = AdapterLoop.run(new BufferedReader(new StringReader(String.join("\n", lines))), out, new PrintStream(
            err));
        return new Run(String.valueOf(code), out.toString(), err.toString());
    }

    private static String batch(String events) {
        return "{\"at_time\":40.0,\"parts\":[{\"initiator_id\":\"initiator_0\",\"input\":[" + events + "]}]}";
    }

    /** The wire names listed in {@link #WIRE_FORMAT} under a key. */
    private static SortedSet<String> namesOf(String key) throws IOException {
        Map<?, ?> format = (Map<?, ?>) Json.parse(Files.readString(WIRE_FORMAT));
        SortedSet<String> names = new TreeSet<>();
        ((Map<?, ?>) format.get(key)).values().forEach(name -> names.add(name instanceof Map<?, ?> message
            ? (String) message.get("name") : (String) name));
        return names;
    }

    @Test void eachMessageIsAnsweredAsRecorded() throws Exception {
        Run run = run(RecordedNames.lines("wire-input.txt"));

        assertEquals(EXIT_OK, run.code, run.error);
        assertEquals(String.join("\n", RecordedNames.lines("wire-replies.txt")) + "\n", run.replies);
    }

    /** Ensures that the recording covers every event and action, since names missing from it are not tested. */
    @Test void theRecordingContainsEveryEventAndAction() throws Exception {
        String input = String.join("\n", RecordedNames.lines("wire-input.txt"));
        for (String event : namesOf("events")) {
            assertTrue(input.contains("[\"" + event + '"'), event);
        }
        SortedSet<String> written = new TreeSet<>();
        for (Matcher name = REPLY_NAME.matcher(String.join("\n", RecordedNames.lines("wire-replies.txt"))); name.find();) {
            written.add(name.group(1));
        }
        assertEquals(new TreeSet<>(RecordedNames.read("wire-actions.txt")), written);
        assertTrue(namesOf("actions").containsAll(written), "the wire format defines them");
    }

    @Test void anExceptionOfTheModuleIsReportedWithTheInstanceId() throws Exception {
        String invalid = RecordedNames.lines("wire-input.txt").get(START_LINE).replace("\"rate\":50.0", "\"rate\":-1.0");

        Run run = run(List.of(invalid));

        assertEquals(EXIT_OK, run.code, run.error);
        assertTrue(run.replies.startsWith("{\"parts\":[{\"initiator_id\":\"initiator_0\",\"out\":[["
            + "\"BUG\",\"initiator_0 ENLIST: "), run.replies);
    }

    /** Each recorded line holds a verdict, a request class and the replies to an attempt that ends with the verdict. */
    @Test void eachVerdictIsAnsweredAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String verdict : namesOf("status")) {
            for (String requestClass : List.of("read", "write")) {
                Run run = verdict(verdict, requestClass);
                assertEquals(EXIT_OK, run.code, verdict + ": " + run.error);
                lines.add(verdict + ' ' + requestClass + ' ' + run.replies.strip().replace("\n", " "));
            }
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-verdicts.txt")), String.join("\n", lines));
        assertRefused(verdict(UNKNOWN_NAME, "read"));
    }

    private static Run verdict(String name, String requestClass) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START_LINE),
            batch("[\"NEW_REQUEST\",\"rq\",\"" + requestClass + "\",\"basic\",null,2040.0,\"v1\",2,0,2,0]"),
            batch("[\"RESULT\",\"rq\",false,0,\"10.0.0.1:1\",20.0,\"" + name + "\"]"),
            batch("[\"REMINDER\",\"wake\"]").replace("40.0", "90.0")));
    }

    /** Each recorded line holds a node's phase and the replies to requests for its cell, now and after the drain grace. */
    @Test void eachPhaseIsHandledAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String phase : namesOf("state")) {
            Run run = phase(phase);
            assertEquals(EXIT_OK, run.code, phase + ": " + run.error);
            lines.add(phase + ' ' + run.replies.strip().replace("\n", " "));
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-phases.txt")), String.join("\n", lines));
        assertRefused(phase(UNKNOWN_NAME));
    }

    private static Run phase(String name) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START_LINE),
            batch(list("healthy", "Partial")), batch(list(name, "Partial")), batch(request("rq-1", 9)),
            batch(request("rq-2", 9)).replace("\"at_time\":40.0", "\"at_time\":400.0")));
    }

    /** Each recorded line holds a list form and the replies to requests for an old node and for the added one. */
    @Test void eachFormOfAListIsHandledAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String form : namesOf("list_kind")) {
            Run run = listForm(form);
            assertEquals(EXIT_OK, run.code, form + ": " + run.error);
            lines.add(form + ' ' + run.replies.strip().replace("\n", " "));
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-forms.txt")), String.join("\n", lines));
        assertRefused(listForm(UNKNOWN_NAME));
    }

    private static Run listForm(String name) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START_LINE),
            batch(list("healthy", name)), batch(request("rq-1", 3)), batch(request("rq-2", 9)),
            batch("[\"REMINDER\",\"wake\"]").replace("\"at_time\":40.0", "\"at_time\":90.0")));
    }

    /** Messages that define and deliver a list of one node, the only one of its cell. */
    private static String list(String phase, String form) {
        return "[\"ROSTER\",1,[[\"10.0.0.9:1\",\"a\",\"k\",9,\"" + phase + "\",1,null]]],"
            + "[\"ENDPOINTS\",1,2,\"" + form + "\"]";
    }

    /** A read request for data in a cell. */
    private static String request(String id, int cell) {
        return "[\"NEW_REQUEST\",\"" + id + "\",\"read\",\"basic\",null,2040.0,\"v1\",2," + cell + ",2,0]";
    }

    @Test void anUnknownMessageIsRefused() throws Exception {
        assertRefused(run(List.of(RecordedNames.lines("wire-input.txt").get(START_LINE), batch("[\"" + UNKNOWN_NAME
            + "\"]"))));
    }

    private static void assertRefused(Run run) {
        assertEquals(EXIT_ERROR, run.code);
        assertTrue(run.error.contains(UNKNOWN_NAME), run.error);
    }
}
