package kelphollow.fleet;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlSettings;
import kelphollow.digest.Digest;
import kelphollow.digest.InstanceState;
import kelphollow.membership.Membership;
import kelphollow.membership.MembershipOutput;
import kelphollow.protocol.peer.Packet;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.protocol.peer.SocketPeerTransport;
import kelphollow.routing.FleetRouting;
import kelphollow.routing.Ticker;

/**
 * This instance's participation in the fleet: drives membership and gossip with the ticker, passes packets between them and
 * the transport, and passes observations of nodes between the digest and the routing. Confined to the routing's event loop.
 */
public final class Fleet implements PeerListener, Gossip.Outbound {
    // Interval at which observations of nodes are published and expired states are dropped.
    private static final double OBSERVATION_INTERVAL_MS = 50;
    // Window in which retries are compared with first attempts.
    private static final double RETRY_WINDOW_MS = 10_000;

    /** Creates the transport of an instance. */
    public interface TransportFactory {
        /**
         * Creates the transport of the named instance.
         *
         * @param epoch read for each packet
         * @param listener receives the packets, on the transport's event loop
         */
        PeerTransport open(String name, LongSupplier epoch, PeerListener listener);
    }

    private final FleetOptions options;
    private final Ticker ticker;
    private final FleetRouting routing;
    private final EventLog events;
    private final LongConsumer epochRaised;
    private final PeerTransport transport;
    private final Gossip gossip;
    private final Membership membership;
    private final Digest digest;
    private final PeerAddresses addresses;
    private final PeerObservations observations;
    private final SheddingFilter shedding;
    private final StatusReport status;
    private Ticker.Timeout membershipTimer;
    private boolean left;

    /**
     * Creates a fleet member over UDP and TCP.
     *
     * @param epoch epoch of this process, higher than that of any earlier process of this instance
     * @param epochRaised called with the higher epoch under which this process continues, which must be stored
     */
    public Fleet(FleetOptions options, ControlSettings settings, long epoch, EventLoop loop, Ticker ticker,
        FleetRouting routing, Random random, EventLog events, LongConsumer epochRaised) {
        this(options, settings, epoch, (name, currentEpoch, listener) -> new SocketPeerTransport(loop, name, currentEpoch,
            options.key(), options.membership().maxMembers(), listener), ticker, routing, random, events, epochRaised);
    }

    /** Creates a fleet member over the transport that {@code transports} creates. */
    public Fleet(FleetOptions options, ControlSettings settings, long epoch, TransportFactory transports, Ticker ticker,
        FleetRouting routing, Random random, EventLog events, LongConsumer epochRaised) {
        this.options = options;
        this.ticker = ticker;
        this.routing = routing;
        this.events = events;
        this.epochRaised = epochRaised;
        this.gossip = new Gossip(options.membership(), options.dissemination(), options.name(),
            PeerAddresses.format(options.listen()), epoch, options.peers().keySet(), options.timeToLive(), random, ticker
                .now(),
            this);
        this.membership = gossip.membership();
        this.digest = gossip.digest();
        this.addresses = new PeerAddresses(options.peers(), membership);
        this.observations = new PeerObservations(options, routing, membership, digest, events);
        this.shedding = options.shedsLoad() ? new SheddingFilter(settings, ticker, random) : null;
        this.transport = transports.open(options.name(), membership::epoch, this);
        this.status = new StatusReport(options.name(), membership, digest, observations, shedding, transport);
    }

    /** Returns the transport, which must be opened from outside the event loop before {@link #start}. */
    public PeerTransport transport() {
        return transport;
    }

    /** Joins the fleet. Call on the event loop. */
    public void start() {
        routing.limitRetries(options.retryShare(), RETRY_WINDOW_MS);
        if (shedding != null) {
            routing.setAdmissionFilter(shedding);
        }
        routing.onEndpointsReceived(this::endpointsReceived);
        events.write(FleetEvent.STARTED, options.name(), membership.epoch(), "");
        tickObservations();
        tickMembership();
    }

    /** Leaves the fleet gracefully and closes the transport. Call on the event loop. */
    public void leave() {
        if (!left) {
            gossip.leave(ticker.now());
            left = true;
            cancelMembershipTimer();
            transport.close();
            events.write(FleetEvent.LEFT, options.name(), membership.epoch(), "this instance");
        }
    }

    // ---------------------------------------------------------------- time

    private void tickMembership() {
        if (!left) {
            gossip.tickMembership(ticker.now());
            scheduleMembershipTick();
        }
    }

    private void scheduleMembershipTick() {
        cancelMembershipTimer();
        if (!left) {
            membershipTimer = ticker.after(Math.max(1, membership.nextTickAt() - ticker.now()), this::tickMembership);
        }
    }

    private void cancelMembershipTimer() {
        if (membershipTimer != null) {
            membershipTimer.cancel();
        }
    }

    private void tickObservations() {
        if (left) {
            return;
        }
        double now = ticker.now();
        observations.publishFindings(now);
        if (shedding != null && shedding.update(now, digest, options.name())) {
            events.write(FleetEvent.SHEDDING_CHANGED, options.name(), membership.epoch(),
                "others turn away what is worth more",
                Map.of("shards", shedding.thresholds().keySet().stream().map(String::valueOf).toList()));
        }
        gossip.tickDissemination(now);
        observations.apply(ticker.now());
        ticker.after(OBSERVATION_INTERVAL_MS, this::tickObservations);
    }

    private void endpointsReceived(List<Endpoint> endpoints) {
        double now = ticker.now();
        observations.endpointsReceived(now, endpoints);
        observations.apply(ticker.now());
        gossip.tickDissemination(now);
    }

    // ---------------------------------------------------------------- packets and changes from gossip

    @Override public void membershipChanged(MembershipOutput output) {
        if (output instanceof MembershipOutput.EpochRaised raised) {
            epochRaised.accept(raised.epoch());
            events.write(FleetEvent.EPOCH_RAISED, options.name(), raised.epoch(), "above this name's own past");
        } else if (output instanceof MembershipOutput.Event event) {
            events.write(FleetEvent.of(event.kind()), event.name(), event.epoch(), event.reason());
        }
    }

    @Override public void statesChanged() {
        observations.apply(ticker.now());
    }

    @Override public long send(String to, Packet packet) {
        InetSocketAddress address = addresses.resolve(to);
        return address == null ? 0 : transport.send(address, packet);
    }

    @Override public void exchange(String with, Packet.FullExchange ours) {
        InetSocketAddress address = addresses.resolve(with);
        if (address != null) {
            transport.exchange(with, address, ours);
        }
    }

    // ---------------------------------------------------------------- packets from the transport

    @Override public void membershipReceived(String from, Packet.Membership packet) {
        if (!left) {
            gossip.received(ticker.now(), from, packet);
            scheduleMembershipTick();
        }
    }

    @Override public void comparisonReceived(String from, Packet.Comparison packet) {
        if (!left) {
            gossip.comparisonReceived(ticker.now(), from, packet.message());
            scheduleMembershipTick();
        }
    }

    @Override public Packet.FullExchange exchangeRequested(String from, Packet.FullExchange theirs) {
        Packet.FullExchange ours = gossip.exchangeRequested(ticker.now(), from, theirs);
        scheduleMembershipTick();
        return ours;
    }

    @Override public void exchangeAnswered(String from, Packet.FullExchange theirs) {
        if (!left) {
            gossip.exchangeAnswered(ticker.now(), from, theirs);
            scheduleMembershipTick();
        }
    }

    // ---------------------------------------------------------------- operators

    /** Calls {@code reader} with the state of each known instance and its age in milliseconds. Call on the event loop. */
    public void forEachState(BiConsumer<InstanceState, Double> reader) {
        digest.forEach(ticker.now(), reader);
    }

    /** Returns the names of the other members that are present. Call on the event loop. */
    public List<String> presentMembers() {
        return membership.presentMembers();
    }

    /** Returns the report of {@code fleet status}, one line of JSON. Call on the event loop. */
    public String status() {
        return status.toJson(ticker.now());
    }
}
