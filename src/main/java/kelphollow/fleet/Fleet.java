package kelphollow.fleet;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import kelphollow.decision.ControlSettings;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.digest.Digest;
import kelphollow.digest.DrainNotices;
import kelphollow.digest.InstanceState;
import kelphollow.dissemination.Dissemination;
import kelphollow.membership.Membership;
import kelphollow.membership.Output;
import kelphollow.membership.Settings;
import kelphollow.overload.LoadShedder;
import kelphollow.overload.ProbeDelegation;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PeerLine;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.Traffic;
import kelphollow.routing.FleetRouting;
import kelphollow.routing.Ticker;

/**
 * This instance's place in the fleet: carries out what membership wants, tells the others what this instance knows of
 * nodes, and the core what the others know. Lives on the loop of the core.
 */
public final class Fleet implements PeerLine.Peers, Gossip.Wire {
    /** Found silent by the teller itself; the figure is how often it has tried the node since. */
    static final String SILENT = "silent";
    // How often what this instance sees of nodes is told, and what faded is dropped, in milliseconds.
    private static final double LOOK = 50;
    // A trial of a silent node is due every second (the module's trickle); three that do not come show that nobody tries.
    private static final double PROBER_PATIENCE = 3_000;
    // The span in which repeats are counted against first tries.
    private static final double REPEATS_IN = 10_000;

    /**
     * @param name of this instance, the same in each life
     * @param peers where others are reached from here, by name; it stands over what they say of themselves
     * @param key the fleet's key, at least 16 bytes
     * @param fades milliseconds after which what an instance said, and did not say again, counts no more
     * @param findings whether nodes that are found silent are told to the others, and taken from them
     * @param shed whether what is worth less gives way to what other instances turn away, see {@link SheddingFilter}
     * @param repeats at each node, further attempts are at most this share of the first ones in any 10 s
     * @param telling how changes of the digest reach the others, and within which budget
     */
    public record Options(String name, InetSocketAddress listen, Map<String, InetSocketAddress> peers, byte[] key,
                          Settings membership, double fades, boolean findings, boolean shed, double repeats,
                          Dissemination.Settings telling) {}

    /** Makes what carries an instance's packets; {@code epoch} is asked for with each of them. */
    public interface Transports {
        /** Opens the transport of the instance of that name; what it hears goes to {@code peers}, on its loop. */
        PeerTransport open(String name, LongSupplier epoch, PeerLine.Peers peers);
    }

    private final Options options;
    private final Ticker ticker;
    private final FleetRouting router;
    private final Events events;
    private final LongConsumer raised;
    private final PeerTransport line;
    private final Gossip gossip;
    private final Membership membership;
    private final Digest digest;
    private final DrainNotices drains;
    private final ProbeDelegation probing;
    private final SheddingFilter shedding;
    private Set<String> ejected = Set.of(), doubted = Set.of(), rested = Set.of();
    private Ticker.Timeout timer;
    private boolean over;

    /**
     * @param epoch this life's number, higher than that of any life before
     * @param raised hears when this life goes on under a higher number, which is to be kept
     */
    public Fleet(Options options, ControlSettings settings, long epoch,
        io.netty.channel.EventLoop loop, Ticker ticker, FleetRouting router, Random random,
        Events events, LongConsumer raised) {
        this(options, settings, epoch, (name, lifeEpoch, peers) -> new PeerLine(loop, name, lifeEpoch, options.key(),
            options.membership().mostMembers(), peers), ticker, router, random, events, raised);
    }

    /** The same over another transport. */
    public Fleet(Options options, ControlSettings settings, long epoch, Transports transports,
        Ticker ticker, FleetRouting router, Random random, Events events, LongConsumer raised) {
        this.options = options;
        this.ticker = ticker;
        this.router = router;
        this.events = events;
        this.raised = raised;
        this.gossip = new Gossip(options.membership(), options.telling(), options.name(),
            options.listen().getAddress().getHostAddress() + ":" + options.listen().getPort(), epoch,
            options.peers().keySet(), options.fades(), random, ticker.now(), this);
        this.membership = gossip.membership();
        this.digest = gossip.digest();
        this.drains = new DrainNotices(options.name());
        this.shedding = options.shed() ? new SheddingFilter(settings, ticker, random) : null;
        this.probing = new ProbeDelegation(options.name(), PROBER_PATIENCE);
        this.line = transports.open(options.name(), membership::epoch, this);
    }

    /** The line, to be opened from outside the loop before {@link #start}. */
    public PeerTransport line() {
        return line;
    }

    /** Joins. On the loop. */
    public void start() {
        router.limitRetries(options.repeats(), REPEATS_IN);
        if (shedding != null) {
            router.setAdmissionFilter(shedding);
        }
        router.onEndpointsReceived(this::listed);
        events.tell("started", options.name(), membership.epoch(), "", Map.of());
        look();
        turn();
    }

    /** Says good-bye and closes the line. On the loop. */
    public void leave() {
        if (!over) {
            gossip.leave(ticker.now());
            over = true;
            if (timer != null) {
                timer.cancel();
            }
            line.close();
            events.tell("left", options.name(), membership.epoch(), "this instance", Map.of());
        }
    }

    // ---------------------------------------------------------------- membership

    private void turn() {
        if (!over) {
            gossip.tick(ticker.now());
            arm();
        }
    }

    private void arm() {
        if (timer != null) {
            timer.cancel();
        }
        if (!over) {
            timer = ticker.after(Math.max(1, membership.nextAt() - ticker.now()), this::turn);
        }
    }

    @Override public void happened(Output output) {
        if (output instanceof Output.Raised r) {
            raised.accept(r.epoch());
            events.tell("raised", options.name(), r.epoch(), "above this name's own past", Map.of());
        } else if (output instanceof Output.Event e) {
            events.tell(e.kind().name().toLowerCase(Locale.ROOT), e.name(), e.epoch(), e.why(), Map.of());
        }
    }

    @Override public long send(String to, Packet packet) {
        InetSocketAddress at = addressOf(to);
        if (at == null) {
            return 0;
        }
        return line.send(at, packet);
    }

    @Override public void exchange(String with, Packet.Full ours) {
        InetSocketAddress at = addressOf(with);
        if (at != null) {
            line.exchange(with, at, ours);
        }
    }

    private InetSocketAddress addressOf(String name) {
        InetSocketAddress known = options.peers().get(name);
        if (known != null) {
            return known;
        }
        String said = membership.address(name);
        int colon = said == null ? -1 : said.lastIndexOf(':');
        try {
            return colon < 0 ? null
                : new InetSocketAddress(said.substring(0, colon), Integer.parseInt(said.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    @Override public void small(String from, Packet.Small packet) {
        if (!over) {
            gossip.small(ticker.now(), from, packet);
            arm();
        }
    }

    @Override public void compared(String from, Packet.Compare packet) {
        if (!over) {
            gossip.compared(ticker.now(), from, packet.message());
            arm();
        }
    }

    @Override public Packet.Full asked(String from, Packet.Full theirs) {
        Packet.Full ours = gossip.asked(ticker.now(), from, theirs);
        arm();
        return ours;
    }

    @Override public void answered(String from, Packet.Full theirs) {
        if (!over) {
            gossip.answered(ticker.now(), from, theirs);
            arm();
        }
    }

    // ---------------------------------------------------------------- the digest

    private void listed(List<Endpoint> entries) {
        double now = ticker.now();
        for (Endpoint e : entries) {
            drains.told(now, e.node(), e.state() == EndpointState.DRAINING, e.state() == EndpointState.REMOVED, e
                .startedAt(), digest);
        }
        follow();
        gossip.round(now);
    }

    @Override public void learned() {
        follow();
    }

    /** What the others say of nodes, given to the core as far as it changed. */
    private void follow() {
        double now = ticker.now();
        Set<String> drained = drains.byOthers(now, digest);
        Set<String> left = options.findings() ? probing.rested(now, membership.present(), digest.on(SILENT, now)) : Set.of();
        if (!drained.equals(ejected) || !left.equals(rested)) {
            Set<String> all = new TreeSet<>(drained);
            all.addAll(left);
            router.eject(all);
        }
        if (!drained.equals(ejected)) {
            ejected = drained;
            events.tell("cordoned", options.name(), membership.epoch(), "by the word of others", Map.of("nodes", drained));
        }
        if (!left.equals(rested)) {
            rested = left;
            events.tell("rested", options.name(), membership.epoch(), "others try them", Map.of("nodes", left));
        }
        Set<String> silent = new TreeSet<>();
        digest.on(SILENT, now).forEach((teller, nodes) -> {
            if (!teller.equals(options.name()) && options.findings()) silent.addAll(nodes.keySet());
        });
        if (!silent.equals(doubted)) {
            doubted = silent;
            router.suspect(silent);
        }
    }

    private void look() {
        if (over) {
            return;
        }
        double now = ticker.now();
        Map<String, Integer> silent = options.findings() ? router.unresponsiveNodes() : Map.of();
        Set<String> said = new TreeSet<>(digest.on(SILENT, now).getOrDefault(options.name(), Map.of()).keySet());
        silent.forEach((node, tries) -> digest.say(SILENT, node, tries));
        said.removeAll(silent.keySet());
        said.forEach(n -> digest.unsay(SILENT, n));
        if (shedding != null && shedding.look(now, digest, options.name())) {
            events.tell("gives_way", options.name(), membership.epoch(), "others turn away what is worth more",
                Map.of("shards", shedding.cuts().keySet().stream().map(String::valueOf).toList()));
        }
        gossip.round(now);
        follow();
        ticker.after(LOOK, this::look);
    }

    // ---------------------------------------------------------------- operators

    /** Calls for each instance that is heard of with its part and the part's age in milliseconds. On the loop. */
    public void eachPart(BiConsumer<InstanceState, Double> reader) {
        digest.each(ticker.now(), reader);
    }

    /** Names of the others that count as there. On the loop. */
    public List<String> present() {
        return membership.present();
    }

    /** By kind: packets out, bytes out, packets in, bytes in, all since the start. */
    private void traffic(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("traffic");
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            out.writeArrayFieldStart(kind.name().toLowerCase(Locale.ROOT));
            out.writeNumber(line.traffic().packetsOut(kind));
            out.writeNumber(line.traffic().bytesOut(kind));
            out.writeNumber(line.traffic().packetsIn(kind));
            out.writeNumber(line.traffic().bytesIn(kind));
            out.writeEndArray();
        }
        out.writeEndObject();
    }

    /** What {@code fleet status} shows, as JSON on one line. */
    public String status() {
        double now = ticker.now();
        Map<String, InstanceState> says = new HashMap<>();
        Map<String, Double> ages = new HashMap<>();
        digest.each(now, (part, age) -> {
            says.put(part.instance(), part);
            ages.put(part.instance(), age);
        });
        return Events.json(out -> {
            out.writeStringField("name", options.name());
            out.writeNumberField("ill_health", membership.illHealth());
            out.writeBooleanField("displaced", membership.displaced());
            out.writeArrayFieldStart("members");
            for (Membership.View v : membership.view()) {
                out.writeStartObject();
                out.writeStringField("name", v.name());
                out.writeStringField("state", v.state().name().toLowerCase(Locale.ROOT));
                out.writeNumberField("epoch", v.epoch());
                out.writeNumberField("since_ms", v.since() == 0 ? 0 : Math.round(now - v.since()));
                InstanceState part = says.get(v.name());
                if (part != null) {
                    out.writeNumberField("said_ms_ago", Math.round(ages.get(v.name())));
                    out.writeObjectFieldStart("says");
                    for (Map.Entry<String, Map<String, Double>> subject : part.subjects().entrySet()) {
                        out.writeArrayFieldStart(subject.getKey());
                        for (String key : subject.getValue().keySet()) {
                            out.writeString(key);
                        }
                        out.writeEndArray();
                    }
                    out.writeEndObject();
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            Events.names(out, "cordoned", ejected);
            Events.names(out, "doubted", doubted);
            out.writeObjectFieldStart("probers");
            for (Map.Entry<String, String> e : probing.probers().entrySet()) {
                out.writeStringField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            writeShedding(out);
            long datagrams = 0, bytes = 0;
            for (Traffic.Kind kind : Traffic.Kind.values()) {
                datagrams += kind == Traffic.Kind.EXCHANGE ? 0 : line.traffic().packetsOut(kind);
                bytes += kind == Traffic.Kind.EXCHANGE ? 0 : line.traffic().bytesOut(kind);
            }
            out.writeNumberField("datagrams_sent", datagrams);
            out.writeNumberField("bytes_sent", bytes);
            traffic(out);
            writeDropped(out);
        });
    }

    private void writeShedding(JsonGenerator out) throws IOException {
        Map<Integer, LoadShedder.Cut> cuts = shedding == null ? Map.of() : shedding.cuts();
        out.writeObjectFieldStart("gives_way");
        for (Map.Entry<Integer, LoadShedder.Cut> cut : cuts.entrySet()) {
            out.writeStringField(cut.getKey().toString(), String.format(Locale.ROOT, "%.0f%% of what is worth under %s",
                100 * cut.getValue().part(), cut.getValue().level()));
        }
        out.writeEndObject();
    }

    private void writeDropped(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("dropped");
        for (Map.Entry<PeerLine.Drop, Long> dropped : line.drops().entrySet()) {
            out.writeNumberField(dropped.getKey().name().toLowerCase(Locale.ROOT), dropped.getValue());
        }
        out.writeEndObject();
    }
}
