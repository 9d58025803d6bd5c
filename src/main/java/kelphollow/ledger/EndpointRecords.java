package kelphollow.ledger;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.recovery.CachedEndpointsAge;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** Record of the last endpoint list, used at a start when the list's source does not respond. Event loop only. */
public final class EndpointRecords {
    private static final byte[] LIST_KEY = RecordCodec.key(StoredNames.ENDPOINT_LIST_KEY);
    /** An unchanged list that is received again is only written again after this interval. */
    private static final double REFRESH_INTERVAL_MS = 5_000;

    /** A stored list and when it was last received, in Unix milliseconds. */
    public record Saved(double at, List<ResolvedEndpoint> members) {}

    private final Ledger ledger;
    private List<ResolvedEndpoint> lastWritten = List.of();
    private double lastWrittenAt = Double.NEGATIVE_INFINITY;

    EndpointRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /**
     * Returns the stored list, or null if there is none. Blocks on the disk, so it may only be called before the event loop
     * serves.
     */
    public Saved read() throws IOException, StoreFault {
        byte[] value = ledger.store().get(StoredNames.ENDPOINTS, LIST_KEY);
        if (value == null) {
            return null;
        }
        StoredRecord stored = RecordCodec.decode(value);
        List<ResolvedEndpoint> members =
            stored.records(StoredNames.ENTRIES).stream().map(EndpointRecords::decode).toList();
        return new Saved(stored.number(StoredNames.AT), members);
    }

    private static ResolvedEndpoint decode(StoredRecord entry) {
        Endpoint endpoint = new Endpoint(entry.text(StoredNames.NODE), entry.text(StoredNames.ZONE),
            (int) entry.number(StoredNames.CELL), state(entry.text(StoredNames.STATE)),
            entry.number(StoredNames.STARTED_AT));
        return new ResolvedEndpoint(endpoint,
            new InetSocketAddress(entry.text(StoredNames.HOST), (int) entry.number(StoredNames.PORT)));
    }

    /** Records a complete list that was just received, unless it is unchanged and was written recently. */
    public void received(List<ResolvedEndpoint> members, double now) {
        if (members.equals(lastWritten) && now - lastWrittenAt < REFRESH_INTERVAL_MS) {
            return;
        }
        lastWritten = List.copyOf(members);
        lastWrittenAt = now;
        byte[] list = RecordCodec.encode(json -> {
            json.writeNumberField(StoredNames.AT, now);
            json.writeArrayFieldStart(StoredNames.ENTRIES);
            for (ResolvedEndpoint member : members) {
                write(json, member);
            }
            json.writeEndArray();
        });
        ledger.writeBuffered(new Batch().put(StoredNames.ENDPOINTS, LIST_KEY, list));
    }

    private static void write(JsonGenerator json, ResolvedEndpoint member) throws IOException {
        Endpoint endpoint = member.endpoint();
        json.writeStartObject();
        json.writeStringField(StoredNames.NODE, endpoint.node());
        json.writeStringField(StoredNames.ZONE, endpoint.zone());
        json.writeNumberField(StoredNames.CELL, endpoint.cell());
        json.writeStringField(StoredNames.STATE, storedName(endpoint.state()));
        json.writeNumberField(StoredNames.STARTED_AT, endpoint.startedAt());
        json.writeStringField(StoredNames.HOST, member.address().getHostString());
        json.writeNumberField(StoredNames.PORT, member.address().getPort());
        json.writeEndObject();
    }

    /**
     * Returns the endpoints of a stored list that a starting instance may use, according to {@link CachedEndpointsAge}.
     * Nodes of an aged list are treated as just started.
     *
     * @param expiresAfter age in milliseconds from which the list is not used at all
     */
    public static List<ResolvedEndpoint> usable(Saved saved, double now, double expiresAfter) {
        CachedEndpointsAge.Freshness freshness = CachedEndpointsAge.freshness(saved.at(), now, expiresAfter);
        if (freshness == CachedEndpointsAge.Freshness.EXPIRED) {
            return List.of();
        }
        List<ResolvedEndpoint> usable = new ArrayList<>();
        for (ResolvedEndpoint member : saved.members()) {
            Endpoint endpoint = member.endpoint();
            if (endpoint.state() != EndpointState.REMOVED) {
                double startedAt = CachedEndpointsAge.effectiveStart(freshness, endpoint.startedAt(), now);
                usable.add(new ResolvedEndpoint(new Endpoint(endpoint.node(), endpoint.zone(), endpoint.cell(),
                    endpoint.state(), startedAt), member.address()));
            }
        }
        return usable;
    }

    /** Returns the name under which a state is stored, which is part of the stored format. */
    private static String storedName(EndpointState state) {
        return switch (state) {
            case HEALTHY -> "HEALTHY";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    private static EndpointState state(String storedName) {
        return switch (storedName) {
            case "HEALTHY" -> EndpointState.HEALTHY;
            case "DRAINING" -> EndpointState.DRAINING;
            case "GONE" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("stored endpoint state must be HEALTHY, DRAINING or GONE: "
                + storedName);
        };
    }
}
