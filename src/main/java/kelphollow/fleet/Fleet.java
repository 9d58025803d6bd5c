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
import kelphollow.protocol.peer.PeerLine;
import kelphollow.protocol.peer.PeerListener;
import kelphollow.protocol.peer.PeerTransport;
import kelphollow.routing.FleetRouting;
import kelphollow.routing.Ticker;

/**
 * This instance's participation in the fleet: drives membership and gossip by the ticker, carries packets between them
 * and the transport, and observations of nodes between the digest and the routing. Confined to the routing's event
 * loop.
 */
public final class Fleet implements PeerListener, Gossip.Outbound {
    // How often observations of nodes are published and expired states are dropped, in milliseconds.
    private static final double OBSERVATION_INTERVAL = 50;
    // The span in which retries are counted against first attempts, in milliseconds.
    private static final double RETRY_WINDOW = 10_000;

    /** Makes the transport of an instance; {@code epoch} is read for each packet. */
    public interface TransportFactory {
        /** The transport of the instance of that name; what it receives goes to {@code listener}, on its loop. */
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
     * @param epoch number of this process, higher than that of any before
     * @param epochRaised is notified when this process goes on under a higher number, which is to be stored
     */
    public Fleet(FleetOptions options, ControlSettings settings, long epoch, EventLoop loop, Ticker ticker,
        FleetRouting routing, Random random, EventLog events, LongConsumer epochRaised) {
        this(options, settings, epoch, (name, currentEpoch, listener) -> new PeerLine(loop, name, currentEpoch, options
            .key(),
            options.membership().maxMembers(), listener), ticker, routing, random, events, epochRaised);
    }

    /** The same over another transport. */
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

    /** The transport, to be opened from outside the loop before {@link #start}. */
    public PeerTransport transport() {
        return transport;
    }

    /** Joins the fleet. On the loop. */
    public void start() {
        routing.limitRetries(options.retryShare(), RETRY_WINDOW);
        if (shedding != null) {
            routing.setAdmissionFilter(shedding);
        }
        routing.onEndpointsReceived(this::endpointsReceived);
        events.write(FleetEvent.STARTED, options.name(), membership.epoch(), "");
        observe();
        tickMembership();
    }

    /** Leaves the fleet gracefully and closes the transport. On the loop. */
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

    private void observe() {
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
        ticker.after(OBSERVATION_INTERVAL, this::observe);
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

    /** Calls for each known instance with its state and the state's age in milliseconds. On the loop. */
    public void forEachState(BiConsumer<InstanceState, Double> reader) {
        digest.forEach(ticker.now(), reader);
    }

    /** Names of the other members that are present. On the loop. */
    public List<String> presentMembers() {
        return membership.presentMembers();
    }

    /** The report of {@code fleet status}, as JSON on one line. On the loop. */
    public String status() {
        return status.at(ticker.now());
    }
}
