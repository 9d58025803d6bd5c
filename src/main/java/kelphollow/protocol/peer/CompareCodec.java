package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.AntiEntropy;
import kelphollow.membership.MemberUpdate;

/** The steps of a comparison of views as CBOR arrays, by position; the hashes of a summary are one run of bytes. */
final class CompareCodec {
    private static final String SUMMARY = "sum", VERSIONS = "versions", DELTA = "delta";
    static final Set<String> KINDS = Set.of(SUMMARY, VERSIONS, DELTA);

    private CompareCodec() {}

    static byte[] write(AntiEntropy message) {
        return PeerCodec.bytes(out -> {
            out.writeStartArray();
            if (message instanceof AntiEntropy.Summary summary) {
                out.writeString(SUMMARY);
                ByteBuffer hashes = ByteBuffer.allocate(Integer.BYTES * summary.hashes().size());
                summary.hashes().forEach(hashes::putInt);
                out.writeBinary(hashes.array());
            } else if (message instanceof AntiEntropy.Versions versions) {
                out.writeString(VERSIONS);
                versions(versions, out);
            } else if (message instanceof AntiEntropy.Delta delta) {
                out.writeString(DELTA);
                delta(delta, out);
            }
            out.writeEndArray();
        });
    }

    private static void versions(AntiEntropy.Versions versions, JsonGenerator out) throws IOException {
        out.writeStartArray();
        for (int bucket : versions.buckets()) {
            out.writeNumber(bucket);
        }
        out.writeEndArray();
        out.writeStartArray();
        for (AntiEntropy.Entry entry : versions.entries()) {
            MemberUpdate n = entry.member();
            out.writeStartArray();
            out.writeString(n.name());
            out.writeNumber(n.epoch());
            out.writeNumber(n.incarnation());
            out.writeString(PeerCodec.STATES[n.state().ordinal()]);
            if (entry.partEpoch() >= 0) {
                out.writeNumber(entry.partEpoch());
                out.writeNumber(entry.partVersion());
            }
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    private static void delta(AntiEntropy.Delta delta, JsonGenerator out) throws IOException {
        PeerCodec.news(delta.news(), out);
        out.writeStartArray();
        for (InstanceState part : delta.parts()) {
            PeerCodec.part(part, out);
        }
        out.writeEndArray();
        out.writeStartArray();
        for (String name : delta.wanted()) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    /** Throws {@link IllegalArgumentException} for what is no such message. */
    static AntiEntropy read(String kind, List<?> words) {
        return switch (kind) {
            case SUMMARY -> summary(words);
            case VERSIONS -> versions(words);
            default -> delta(words);
        };
    }

    private static AntiEntropy summary(List<?> words) {
        if (!(PeerCodec.at(words, 1) instanceof byte[] bytes) || bytes.length % Integer.BYTES != 0) {
            throw new IllegalArgumentException("no hashes");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<Integer> hashes = new ArrayList<>();
        while (in.hasRemaining()) {
            hashes.add(in.getInt());
        }
        return new AntiEntropy.Summary(hashes);
    }

    private static AntiEntropy versions(List<?> words) {
        List<Integer> buckets = new ArrayList<>();
        List<?> numbers = PeerCodec.list(PeerCodec.at(words, 1));
        for (int i = 0; i < numbers.size(); i++) {
            buckets.add((int) Math.min(Integer.MAX_VALUE, PeerCodec.whole(numbers, i)));
        }
        List<AntiEntropy.Entry> entries = new ArrayList<>();
        for (Object entry : PeerCodec.list(PeerCodec.at(words, 2))) {
            List<?> w = PeerCodec.list(entry);
            MemberUpdate member = new MemberUpdate(PeerCodec.text(w, 0), "", PeerCodec.whole(w, 1), PeerCodec.whole(w, 2),
                PeerCodec.state(PeerCodec.text(w, 3)), "");
            boolean hasPart = w.size() > 4;
            entries.add(new AntiEntropy.Entry(member, hasPart ? PeerCodec.whole(w, 4) : -1,
                hasPart ? PeerCodec.whole(w, 5) : -1));
        }
        return new AntiEntropy.Versions(buckets, entries);
    }

    private static AntiEntropy delta(List<?> words) {
        List<MemberUpdate> news = new ArrayList<>();
        for (Object n : PeerCodec.list(PeerCodec.at(words, 1))) {
            news.add(PeerCodec.news(PeerCodec.list(n)));
        }
        List<InstanceState> parts = new ArrayList<>();
        for (Object part : PeerCodec.list(PeerCodec.at(words, 2))) {
            parts.add(PeerCodec.part(PeerCodec.list(part)));
        }
        List<String> wanted = new ArrayList<>();
        List<?> names = PeerCodec.list(PeerCodec.at(words, 3));
        for (int i = 0; i < names.size(); i++) {
            wanted.add(PeerCodec.text(names, i));
        }
        return new AntiEntropy.Delta(news, parts, wanted);
    }
}
