package kelphollow.protocol.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import kelphollow.digest.InstanceState;
import kelphollow.membership.Message;
import kelphollow.membership.MemberUpdate;
import kelphollow.protocol.json.Json;

/** Packets as CBOR arrays, by position. Faulty ones are rejected whole. Safe for any thread. */
final class PeerCodec {
    private static final CBORFactory CBOR = new CBORFactory();
    static final String[] STATES = {"a", "s", "d", "l"};

    private PeerCodec() {}

    interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    static byte[] bytes(Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            body.write(out);
        } catch (IOException e) {
            throw new IllegalStateException(e);   // memory does not fail
        }
        return bytes.toByteArray();
    }

    /** One value of CBOR, no more and no less. */
    static Object value(byte[] bytes, int length) throws IOException {
        try (JsonParser parser = CBOR.createParser(bytes, 0, length)) {
            parser.nextToken();
            Object value = Json.read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return value;
        }
    }

    static byte[] write(Packet packet) {
        if (packet instanceof Packet.Compare compare) {
            return CompareCodec.write(compare.message());
        }
        return bytes(out -> {
            out.writeStartArray();
            if (packet instanceof Packet.Full full) {
                out.writeString("full");
                news(full.news(), out);
            } else if (packet instanceof Packet.Small small) {
                message(small.message(), out);
            }
            out.writeStartArray();
            for (InstanceState part : packet.parts()) {
                part(part, out);
            }
            out.writeEndArray();
            out.writeEndArray();
        });
    }

    private static void message(Message message, JsonGenerator out) throws IOException {
        if (message instanceof Message.Ping m) {
            head("ping", m.number(), out);
            out.writeString(m.to());
        } else if (message instanceof Message.PingRequest m) {
            head("ask", m.number(), out);
            out.writeString(m.target());
        } else if (message instanceof Message.Ack m) {
            head("ack", m.number(), out);
        } else if (message instanceof Message.Nack m) {
            head("nack", m.number(), out);
        } else {
            out.writeString("news");
        }
        news(message.news(), out);
    }

    private static void head(String kind, long number, JsonGenerator out) throws IOException {
        out.writeString(kind);
        out.writeNumber(number);
    }

    static void news(List<MemberUpdate> all, JsonGenerator out) throws IOException {
        out.writeStartArray();
        for (MemberUpdate n : all) {
            out.writeStartArray();
            out.writeString(n.name());
            out.writeString(n.address());
            out.writeNumber(n.epoch());
            out.writeNumber(n.incarnation());
            out.writeString(STATES[n.state().ordinal()]);
            out.writeString(n.by());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    static void part(InstanceState part, JsonGenerator out) throws IOException {
        out.writeStartArray();
        out.writeString(part.instance());
        out.writeNumber(part.epoch());
        out.writeNumber(part.version());
        out.writeNumber(part.age());
        out.writeStartObject();
        for (Map.Entry<String, Map<String, Double>> subject : part.subjects().entrySet()) {
            out.writeObjectFieldStart(subject.getKey());
            for (Map.Entry<String, Double> figure : subject.getValue().entrySet()) {
                out.writeNumberField(figure.getKey(), figure.getValue());
            }
            out.writeEndObject();
        }
        out.writeEndObject();
        out.writeEndArray();
    }

    /** Throws {@link IllegalArgumentException} for what is no packet. */
    static Packet read(byte[] bytes) throws IOException {
        List<?> words = list(value(bytes, bytes.length));
        String kind = text(words, 0);
        if (CompareCodec.KINDS.contains(kind)) {
            return new Packet.Compare(CompareCodec.read(kind, words));
        }
        int last = words.size() - 1;
        List<InstanceState> parts = new ArrayList<>();
        for (Object part : list(at(words, last))) {
            parts.add(part(list(part)));
        }
        List<MemberUpdate> news = new ArrayList<>();
        for (Object n : list(at(words, last - 1))) {
            news.add(news(list(n)));
        }
        return switch (kind) {
            case "full" -> new Packet.Full(news, parts);
            case "ping" -> new Packet.Small(new Message.Ping(whole(words, 1), text(words, 2), news), parts);
            case "ask" -> new Packet.Small(new Message.PingRequest(whole(words, 1), text(words, 2), news), parts);
            case "ack" -> new Packet.Small(new Message.Ack(whole(words, 1), news), parts);
            case "nack" -> new Packet.Small(new Message.Nack(whole(words, 1), news), parts);
            case "news" -> new Packet.Small(new Message.Gossip(news), parts);
            default -> throw new IllegalArgumentException("no such packet");
        };
    }

    static MemberUpdate news(List<?> w) {
        return new MemberUpdate(text(w, 0), text(w, 1), whole(w, 2), whole(w, 3), state(text(w, 4)), text(w, 5));
    }

    static MemberUpdate.State state(String letter) {
        for (int i = 0; i < STATES.length; i++) {
            if (STATES[i].equals(letter)) {
                return MemberUpdate.State.values()[i];
            }
        }
        throw new IllegalArgumentException("no such state");
    }

    static InstanceState part(List<?> w) {
        if (!(at(w, 4) instanceof Map<?, ?> subjects) || !(at(w, 3) instanceof Double age)) {
            throw new IllegalArgumentException("no part");
        }
        Map<String, Map<String, Double>> read = new TreeMap<>();
        subjects.forEach((subject, figures) -> {
            if (!(figures instanceof Map<?, ?> map)) {
                throw new IllegalArgumentException("no figures");
            }
            Map<String, Double> into = new TreeMap<>();
            map.forEach((key, figure) -> {
                if (!(figure instanceof Double d)) {
                    throw new IllegalArgumentException("no figure");
                }
                into.put((String) key, d);
            });
            read.put((String) subject, into);
        });
        return new InstanceState(text(w, 0), whole(w, 1), whole(w, 2), age, read);
    }

    static Object at(List<?> words, int index) {
        if (index < 0 || index >= words.size()) {
            throw new IllegalArgumentException("too short");
        }
        return words.get(index);
    }

    static List<?> list(Object value) {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("no list");
    }

    static String text(List<?> words, int index) {
        if (at(words, index) instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException("no text");
    }

    /** Numbers are read as doubles, exact up to 2^53: epochs and counters do not come there. */
    static long whole(List<?> words, int index) {
        if (at(words, index) instanceof Double d && d >= 0 && d == Math.rint(d) && d < 0x1p53) {
            return d.longValue();
        }
        throw new IllegalArgumentException("no number");
    }
}
