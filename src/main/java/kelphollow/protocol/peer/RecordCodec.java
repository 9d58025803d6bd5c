package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/**
 * Encodes member updates and instance states as CBOR arrays with positional fields. Reading throws
 * {@link IllegalArgumentException} if a record is malformed. Thread-safe.
 */
final class RecordCodec {
    private RecordCodec() {}

    /** Returns the letter that stands for a member's state in a packet. */
    static String letterOf(MemberUpdate.State state) {
        return switch (state) {
            case ALIVE -> "a";
            case SUSPECT -> "s";
            case DEAD -> "d";
            case LEFT -> "l";
        };
    }

    static MemberUpdate.State stateOf(String letter) {
        return switch (letter) {
            case "a" -> MemberUpdate.State.ALIVE;
            case "s" -> MemberUpdate.State.SUSPECT;
            case "d" -> MemberUpdate.State.DEAD;
            case "l" -> MemberUpdate.State.LEFT;
            default -> throw new IllegalArgumentException("unknown member state");
        };
    }

    static void writeUpdates(List<MemberUpdate> updates, JsonGenerator out) throws IOException {
        out.writeStartArray();
        for (MemberUpdate update : updates) {
            out.writeStartArray();
            out.writeString(update.name());
            out.writeString(update.address());
            out.writeNumber(update.epoch());
            out.writeNumber(update.incarnation());
            out.writeString(letterOf(update.state()));
            out.writeString(update.accuser());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    static List<MemberUpdate> readUpdates(Object value) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (Object element : Cbor.list(value)) {
            List<?> fields = Cbor.list(element);
            updates.add(new MemberUpdate(Cbor.text(fields, 0), Cbor.text(fields, 1), Cbor.integer(fields, 2),
                Cbor.integer(fields, 3), stateOf(Cbor.text(fields, 4)), Cbor.text(fields, 5)));
        }
        return updates;
    }

    static void writeStates(List<InstanceState> states, JsonGenerator out) throws IOException {
        out.writeStartArray();
        for (InstanceState state : states) {
            writeState(state, out);
        }
        out.writeEndArray();
    }

    private static void writeState(InstanceState state, JsonGenerator out) throws IOException {
        out.writeStartArray();
        out.writeString(state.instance());
        out.writeNumber(state.epoch());
        out.writeNumber(state.version());
        out.writeNumber(state.age());
        out.writeStartObject();
        for (Map.Entry<String, Map<String, Double>> subject : state.subjects().entrySet()) {
            out.writeObjectFieldStart(subject.getKey());
            for (Map.Entry<String, Double> value : subject.getValue().entrySet()) {
                out.writeNumberField(value.getKey(), value.getValue());
            }
            out.writeEndObject();
        }
        out.writeEndObject();
        out.writeEndArray();
    }

    static List<InstanceState> readStates(Object value) {
        List<InstanceState> states = new ArrayList<>();
        for (Object element : Cbor.list(value)) {
            states.add(readState(Cbor.list(element)));
        }
        return states;
    }

    private static InstanceState readState(List<?> fields) {
        if (!(Cbor.at(fields, 4) instanceof Map<?, ?> subjects) || !(Cbor.at(fields, 3) instanceof Double age)) {
            throw new IllegalArgumentException("instance state: age is not a number or subjects are not a map");
        }
        Map<String, Map<String, Double>> read = new TreeMap<>();
        subjects.forEach((subject, values) -> read.put((String) subject, readValues(values)));
        return new InstanceState(Cbor.text(fields, 0), Cbor.integer(fields, 1), Cbor.integer(fields, 2), age, read);
    }

    private static Map<String, Double> readValues(Object values) {
        if (!(values instanceof Map<?, ?> byKey)) {
            throw new IllegalArgumentException("instance state: the values of a subject are not a map");
        }
        Map<String, Double> read = new TreeMap<>();
        byKey.forEach((key, value) -> {
            if (!(value instanceof Double number)) {
                throw new IllegalArgumentException("instance state: a value is not a number");
            }
            read.put((String) key, number);
        });
        return read;
    }
}
