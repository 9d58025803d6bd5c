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

/** Names on the simulator's wire: what is sent there in the platform's words is answered in them, byte for byte. */
class WireNamesTest {
    private static final Path FORM = Path.of("deploy/sites/wire.json");
    private static final String UNKNOWN_WORD = "no-such-word";
    private static final String GOOD = "0";
    private static final String FAULTY = "1";
    /** The line of the input that starts an instance on its first list. */
    private static final int START = 1;
    private static final Pattern REPLY_NAME = Pattern.compile("\\[\"([A-Z_]+)\"");

    /** Exit code, replies and what was told of a fault. */
    private record Run(String code, String replies, String told) {}

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

    private static SortedSet<String> form(String key) throws IOException {
        Map<?, ?> form = (Map<?, ?>) Json.parse(Files.readString(FORM));
        SortedSet<String> words = new TreeSet<>();
        ((Map<?, ?>) form.get(key)).values().forEach(word -> words.add(word instanceof Map<?, ?> message
            ? (String) message.get("name") : (String) word));
        return words;
    }

    @Test void eachMessageIsAnsweredAsRecorded() throws Exception {
        Run run = run(RecordedNames.lines("wire-input.txt"));

        assertEquals(GOOD, run.code, run.told);
        assertEquals(String.join("\n", RecordedNames.lines("wire-replies.txt")) + "\n", run.replies);
    }

    /** Guards the recording itself: what is not in it is not held. */
    @Test void theRecordingHasAllMessagesThatAreReadOrWritten() throws Exception {
        String input = String.join("\n", RecordedNames.lines("wire-input.txt"));
        for (String event : form("events")) {
            assertTrue(input.contains("[\"" + event + '"'), event);
        }
        SortedSet<String> written = new TreeSet<>();
        for (Matcher name = REPLY_NAME.matcher(String.join("\n", RecordedNames.lines("wire-replies.txt"))); name.find();) {
            written.add(name.group(1));
        }
        assertEquals(new TreeSet<>(RecordedNames.read("wire-actions.txt")), written);
        assertTrue(form("actions").containsAll(written), "the platform knows them");
    }

    @Test void aFaultOfAnInstanceIsReportedByItsName() throws Exception {
        String broken = RecordedNames.lines("wire-input.txt").get(START).replace("\"rate\":50.0", "\"rate\":-1.0");

        Run run = run(List.of(broken));

        assertEquals(GOOD, run.code, run.told);
        assertTrue(run.replies.startsWith("{\"parts\":[{\"initiator_id\":\"initiator_0\",\"out\":[["
            + "\"BUG\",\"initiator_0 ENLIST: "), run.replies);
    }

    // ---------------------------------------------------------------- words

    /** Lines hold the verdict and what the instance answers when an attempt ended so. */
    @Test void eachVerdictIsAnsweredAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String verdict : form("status")) {
            for (String requestClass : List.of("read", "write")) {
                Run run = verdict(verdict, requestClass);
                assertEquals(GOOD, run.code, verdict + ": " + run.told);
                lines.add(verdict + ' ' + requestClass + ' ' + run.replies.strip().replace("\n", " "));
            }
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-verdicts.txt")), String.join("\n", lines));
        assertRefused(verdict(UNKNOWN_WORD, "read"));
    }

    private static Run verdict(String word, String requestClass) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START),
            batch("[\"NEW_REQUEST\",\"rq\",\"" + requestClass + "\",\"basic\",null,2040.0,\"v1\",2,0,2,0]"),
            batch("[\"RESULT\",\"rq\",false,0,\"10.0.0.1:1\",20.0,\"" + word + "\"]"),
            batch("[\"REMINDER\",\"wake\"]").replace("40.0", "90.0")));
    }

    /** Lines hold the phase that a node takes on and what requests for its cell are answered, at once and past the grace. */
    @Test void eachPhaseIsUnderstoodAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String phase : form("state")) {
            Run run = phase(phase);
            assertEquals(GOOD, run.code, phase + ": " + run.told);
            lines.add(phase + ' ' + run.replies.strip().replace("\n", " "));
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-phases.txt")), String.join("\n", lines));
        assertRefused(phase(UNKNOWN_WORD));
    }

    private static Run phase(String word) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START),
            batch(list("healthy", "Partial")), batch(list(word, "Partial")), batch(request("rq-1", 9)),
            batch(request("rq-2", 9)).replace("\"at_time\":40.0", "\"at_time\":400.0")));
    }

    /** Lines hold the form of a list of one further node, and what requests for an old node and for it are answered. */
    @Test void eachFormOfAListIsUnderstoodAsRecorded() throws Exception {
        List<String> lines = new ArrayList<>();
        for (String form : form("list_kind")) {
            Run run = listForm(form);
            assertEquals(GOOD, run.code, form + ": " + run.told);
            lines.add(form + ' ' + run.replies.strip().replace("\n", " "));
        }
        assertEquals(String.join("\n", RecordedNames.read("wire-forms.txt")), String.join("\n", lines));
        assertRefused(listForm(UNKNOWN_WORD));
    }

    private static Run listForm(String word) throws IOException {
        return run(List.of(RecordedNames.lines("wire-input.txt").get(START),
            batch(list("healthy", word)), batch(request("rq-1", 3)), batch(request("rq-2", 9)),
            batch("[\"REMINDER\",\"wake\"]").replace("\"at_time\":40.0", "\"at_time\":90.0")));
    }

    /** A list of one node, the only one of its cell. */
    private static String list(String phase, String form) {
        return "[\"ROSTER\",1,[[\"10.0.0.9:1\",\"a\",\"k\",9,\"" + phase + "\",1,null]]],"
            + "[\"ENDPOINTS\",1,2,\"" + form + "\"]";
    }

    /** A read of what lies in a cell. */
    private static String request(String id, int cell) {
        return "[\"NEW_REQUEST\",\"" + id + "\",\"read\",\"basic\",null,2040.0,\"v1\",2," + cell + ",2,0]";
    }

    @Test void anUnknownMessageIsRefused() throws Exception {
        assertRefused(run(List.of(RecordedNames.lines("wire-input.txt").get(START), batch("[\"" + UNKNOWN_WORD + "\"]"))));
    }

    private static void assertRefused(Run run) {
        assertEquals(FAULTY, run.code);
        assertTrue(run.told.contains(UNKNOWN_WORD), run.told);
    }
}
