package kelphollow.ledger;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.recovery.CachedEndpointsAge;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.store.Batch;
import kelphollow.store.StoreFault;

/** The node list as it was last told, for a start at which its source does not answer. Event loop only. */
public final class NodeRecords {
    private static final String NODES = "nodes";
    private static final byte[] LIST = Records.key("list");
    /** A list that is told again unchanged is written again only so often, in milliseconds: its age need be no finer. */
    private static final double REFRESH = 5_000;

    /** A list and when it was last told, in Unix milliseconds. */
    public record Saved(double at, List<ResolvedEndpoint> members) {}

    private final Ledger ledger;
    private List<ResolvedEndpoint> last = List.of();
    private double lastAt = Double.NEGATIVE_INFINITY;

    NodeRecords(Ledger ledger) {
        this.ledger = ledger;
    }

    /** The list, or null if none was ever kept. */
    public Saved read() throws IOException, StoreFault {
        byte[] value = ledger.store().get(NODES, LIST);
        if (value == null) {
            return null;
        }
        Map<?, ?> fields = Records.fields(value);
        List<ResolvedEndpoint> members = new ArrayList<>();
        if (fields.get("members") instanceof List<?> all) {
            for (Object one : all) {
                if (one instanceof Map<?, ?> m) {
                    members.add(new ResolvedEndpoint(new Endpoint(Records.word(m, "node"), Records.word(m, "zone"),
                        (int) Records.number(m, "cell"), state(Records.word(m, "phase")),
                        Records.number(m, "born")),
                        new InetSocketAddress(Records.word(m, "host"), (int) Records.number(m, "port"))));
                }
            }
        }
        return new Saved(Records.number(fields, "at"), List.copyOf(members));
    }

    /** Keeps a whole list as it was just told. */
    public void told(List<ResolvedEndpoint> members, double now) {
        if (members.equals(last) && now - lastAt < REFRESH) {
            return;
        }
        last = List.copyOf(members);
        lastAt = now;
        List<Map<String, Object>> all = new ArrayList<>();
        for (ResolvedEndpoint m : members) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("node", m.endpoint().node());
            one.put("zone", m.endpoint().zone());
            one.put("cell", m.endpoint().cell());
            one.put("phase", storedName(m.endpoint().state()));
            one.put("born", m.endpoint().startedAt());
            one.put("host", m.address().getHostString());
            one.put("port", m.address().getPort());
            all.add(one);
        }
        ledger.after(new Batch().put(NODES, LIST, Records.value("at", now, "members", all)));
    }

    /** What a start may use of a saved list, in the order of {@link CachedEndpointsAge}: nodes of an aged one count as cold. */
    public static List<ResolvedEndpoint> usable(Saved saved, double now, double expiresAfter) {
        CachedEndpointsAge.Trust trust = CachedEndpointsAge.trust(saved.at(), now, expiresAfter);
        if (trust == CachedEndpointsAge.Trust.EXPIRED) {
            return List.of();
        }
        List<ResolvedEndpoint> usable = new ArrayList<>();
        for (ResolvedEndpoint m : saved.members()) {
            if (m.endpoint().state() != EndpointState.REMOVED) {
                Endpoint e = m.endpoint();
                usable.add(new ResolvedEndpoint(new Endpoint(e.node(), e.zone(), e.cell(), e.state(),
                    CachedEndpointsAge.effectiveStart(trust, e.startedAt(), now)), m.address()));
            }
        }
        return usable;
    }

    /** The name under which a state is stored. */
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
            default -> throw new IllegalArgumentException("unknown state of a stored endpoint: " + storedName);
        };
    }
}
