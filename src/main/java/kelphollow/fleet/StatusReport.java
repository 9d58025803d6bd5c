package kelphollow.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberView;
import kelphollow.membership.Membership;
import kelphollow.overload.AdmissionThreshold;
import kelphollow.protocol.peer.DropReason;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.Traffic;

/** Builds the report of {@code fleet status}, one line of JSON. Operators' tools read its keys, so these must not change. */
final class StatusReport {
    private static final String NAME = "name";
    private static final String LOCAL_HEALTH = "ill_health";
    private static final String DISPLACED = "displaced";
    private static final String MEMBERS = "members";
    private static final String MEMBER_STATE = "state";
    private static final String EPOCH = "epoch";
    private static final String STATE_AGE = "since_ms";
    private static final String PUBLISHED_AGE = "said_ms_ago";
    private static final String PUBLISHED = "says";
    private static final String DRAINING = "cordoned";
    private static final String SUSPECTED = "doubted";
    private static final String HEALTH_CHECKERS = "probers";
    private static final String SHEDDING = "gives_way";
    private static final String DATAGRAMS_SENT = "datagrams_sent";
    private static final String BYTES_SENT = "bytes_sent";
    private static final String TRAFFIC = "traffic";
    private static final String DROPPED = "dropped";

    private final String name;
    private final Membership membership;
    private final Digest digest;
    private final PeerObservations observations;
    private final SheddingFilter shedding;
    private final PeerTransport transport;

    /** {@code shedding} is null if this instance does not shed load. */
    StatusReport(String name, Membership membership, Digest digest, PeerObservations observations, SheddingFilter shedding,
        PeerTransport transport) {
        this.name = name;
        this.membership = membership;
        this.digest = digest;
        this.observations = observations;
        this.shedding = shedding;
        this.transport = transport;
    }

    String toJson(double now) {
        return JsonLine.of(out -> {
            out.writeStringField(NAME, name);
            out.writeNumberField(LOCAL_HEALTH, membership.localHealthScore());
            out.writeBooleanField(DISPLACED, membership.isDisplaced());
            writeMembers(out, now);
            JsonLine.names(out, DRAINING, observations.draining());
            JsonLine.names(out, SUSPECTED, observations.suspected());
            out.writeObjectFieldStart(HEALTH_CHECKERS);
            for (Map.Entry<String, String> checker : observations.healthCheckers().entrySet()) {
                out.writeStringField(checker.getKey(), checker.getValue());
            }
            out.writeEndObject();
            writeShedding(out);
            writeDatagramTotals(out);
            writeTraffic(out);
            writeDropped(out);
        });
    }

    private void writeMembers(JsonGenerator out, double now) throws IOException {
        Map<String, InstanceState> states = new HashMap<>();
        Map<String, Double> ages = new HashMap<>();
        digest.forEach(now, (state, age) -> {
            states.put(state.instance(), state);
            ages.put(state.instance(), age);
        });
        out.writeArrayFieldStart(MEMBERS);
        for (MemberView member : membership.view()) {
            out.writeStartObject();
            out.writeStringField(NAME, member.name());
            out.writeStringField(MEMBER_STATE, stateName(member));
            out.writeNumberField(EPOCH, member.epoch());
            out.writeNumberField(STATE_AGE, member.since() == 0 ? 0 : Math.round(now - member.since()));
            InstanceState state = states.get(member.name());
            if (state != null) {
                out.writeNumberField(PUBLISHED_AGE, Math.round(ages.get(member.name())));
                writePublished(out, state);
            }
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static String stateName(MemberView member) {
        return switch (member.state()) {
            case ALIVE -> "alive";
            case SUSPECT -> "suspect";
            case DEAD -> "dead";
            case LEFT -> "left";
        };
    }

    private static void writePublished(JsonGenerator out, InstanceState state) throws IOException {
        out.writeObjectFieldStart(PUBLISHED);
        for (Map.Entry<String, Map<String, Double>> subject : state.subjects().entrySet()) {
            out.writeArrayFieldStart(subject.getKey());
            for (String key : subject.getValue().keySet()) {
                out.writeString(key);
            }
            out.writeEndArray();
        }
        out.writeEndObject();
    }

    private void writeShedding(JsonGenerator out) throws IOException {
        Map<Integer, AdmissionThreshold> thresholds = shedding == null ? Map.of() : shedding.thresholds();
        out.writeObjectFieldStart(SHEDDING);
        for (Map.Entry<Integer, AdmissionThreshold> shard : thresholds.entrySet()) {
            AdmissionThreshold threshold = shard.getValue();
            out.writeStringField(shard.getKey().toString(), String.format(Locale.ROOT, "%.0f%% of what is worth under %s",
                100 * threshold.fraction(), threshold.weight()));
        }
        out.writeEndObject();
    }

    private void writeDatagramTotals(JsonGenerator out) throws IOException {
        Traffic traffic = transport.traffic();
        long datagrams = 0;
        long bytes = 0;
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            datagrams += kind == Traffic.Kind.EXCHANGE ? 0 : traffic.packetsOut(kind);
            bytes += kind == Traffic.Kind.EXCHANGE ? 0 : traffic.bytesOut(kind);
        }
        out.writeNumberField(DATAGRAMS_SENT, datagrams);
        out.writeNumberField(BYTES_SENT, bytes);
    }

    /** Writes, by kind: packets out, bytes out, packets in and bytes in since the start. */
    private void writeTraffic(JsonGenerator out) throws IOException {
        Traffic traffic = transport.traffic();
        out.writeObjectFieldStart(TRAFFIC);
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            out.writeArrayFieldStart(kind.label());
            out.writeNumber(traffic.packetsOut(kind));
            out.writeNumber(traffic.bytesOut(kind));
            out.writeNumber(traffic.packetsIn(kind));
            out.writeNumber(traffic.bytesIn(kind));
            out.writeEndArray();
        }
        out.writeEndObject();
    }

    private void writeDropped(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart(DROPPED);
        for (Map.Entry<DropReason, Long> dropped : transport.drops().entrySet()) {
            out.writeNumberField(dropped.getKey().label(), dropped.getValue());
        }
        out.writeEndObject();
    }
}
