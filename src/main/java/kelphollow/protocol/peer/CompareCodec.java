package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.dissemination.AntiEntropy.Entry;
import kelphollow.membership.MemberUpdate;

/**
 * Encodes the messages of a view comparison as CBOR arrays with positional fields; the hashes of a summary are one byte
 * string. Thread-safe.
 */
final class CompareCodec {
    private static final String SUMMARY = "sum";
    private static final String VERSIONS = "versions";
    private static final String DELTA = "delta";
    static final Set<String> KINDS = Set.of(SUMMARY, VERSIONS, DELTA);
    // Number of fields of an entry without an instance state.
    private static final int MEMBER_FIELDS = 4;

    private CompareCodec() {}

    static byte[] write(AntiEntropy message) {
        return Cbor.write(out -> {
            out.writeStartArray();
            if (message instanceof AntiEntropy.Summary summary) {
                out.writeString(SUMMARY);
                writeSummary(summary, out);
            } else if (message instanceof AntiEntropy.Versions versions) {
                out.writeString(VERSIONS);
                writeVersions(versions, out);
            } else if (message instanceof AntiEntropy.Delta delta) {
                out.writeString(DELTA);
                writeDelta(delta, out);
            }
            out.writeEndArray();
        });
    }

    private static void writeSummary(AntiEntropy.Summary summary, JsonGenerator out) throws IOException {
        ByteBuffer hashes = ByteBuffer.allocate(Integer.BYTES * summary.hashes().size());
        summary.hashes().forEach(hashes::putInt);
        out.writeBinary(hashes.array());
    }

    private static void writeVersions(AntiEntropy.Versions versions, JsonGenerator out) throws IOException {
        out.writeStartArray();
        for (int bucket : versions.buckets()) {
            out.writeNumber(bucket);
        }
        out.writeEndArray();
        out.writeStartArray();
        for (Entry entry : versions.entries()) {
            writeEntry(entry, out);
        }
        out.writeEndArray();
    }

    private static void writeEntry(Entry entry, JsonGenerator out) throws IOException {
        MemberUpdate member = entry.member();
        out.writeStartArray();
        out.writeString(member.name());
        out.writeNumber(member.epoch());
        out.writeNumber(member.incarnation());
        out.writeString(RecordCodec.letterOf(member.state()));
        if (entry.stateEpoch() != Entry.NONE) {
            out.writeNumber(entry.stateEpoch());
            out.writeNumber(entry.stateVersion());
        }
        out.writeEndArray();
    }

    private static void writeDelta(AntiEntropy.Delta delta, JsonGenerator out) throws IOException {
        RecordCodec.writeUpdates(delta.updates(), out);
        RecordCodec.writeStates(delta.states(), out);
        out.writeStartArray();
        for (String name : delta.requested()) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    /** Reads a message of one of {@link #KINDS}; throws {@link IllegalArgumentException} if its fields are malformed. */
    static AntiEntropy read(String kind, List<?> fields) {
        return switch (kind) {
            case SUMMARY -> readSummary(fields);
            case VERSIONS -> readVersions(fields);
            default -> readDelta(fields);
        };
    }

    private static AntiEntropy readSummary(List<?> fields) {
        if (!(Cbor.at(fields, 1) instanceof byte[] bytes) || bytes.length % Integer.BYTES != 0) {
            throw new IllegalArgumentException("hashes are not a byte string of 4-byte integers");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Integer> hashes = new ArrayList<>();
        while (in.hasRemaining()) {
            hashes.add(in.getInt());
        }
        return new AntiEntropy.Summary(hashes);
    }

    private static AntiEntropy readVersions(List<?> fields) {
        List<Integer> buckets = new ArrayList<>();
        List<?> numbers = Cbor.list(Cbor.at(fields, 1));
        for (int i = 0; i < numbers.size(); i++) {
            buckets.add((int) Math.min(Integer.MAX_VALUE, Cbor.integer(numbers, i)));
        }
        List<Entry> entries = new ArrayList<>();
        for (Object entry : Cbor.list(Cbor.at(fields, 2))) {
            entries.add(readEntry(Cbor.list(entry)));
        }
        return new AntiEntropy.Versions(buckets, entries);
    }

    private static Entry readEntry(List<?> fields) {
        MemberUpdate member = new MemberUpdate(Cbor.text(fields, 0), "", Cbor.integer(fields, 1), Cbor.integer(fields, 2),
            RecordCodec.stateOf(Cbor.text(fields, 3)), "");
        boolean hasState = fields.size() > MEMBER_FIELDS;
        return new Entry(member, hasState ? Cbor.integer(fields, MEMBER_FIELDS) : Entry.NONE,
            hasState ? Cbor.integer(fields, MEMBER_FIELDS + 1) : Entry.NONE);
    }

    private static AntiEntropy readDelta(List<?> fields) {
        List<String> requested = new ArrayList<>();
        List<?> names = Cbor.list(Cbor.at(fields, 3));
        for (int i = 0; i < names.size(); i++) {
            requested.add(Cbor.text(names, i));
        }
        return new AntiEntropy.Delta(RecordCodec.readUpdates(Cbor.at(fields, 1)), RecordCodec.readStates(Cbor.at(fields, 2)),
            requested);
    }
}
