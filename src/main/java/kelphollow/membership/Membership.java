package kelphollow.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import kelphollow.membership.MemberUpdate.State;

/**
 * One instance's view of the fleet, and the protocol that maintains it. The owner calls {@link #tick} at {@link
 * #nextTickAt}, passes in the messages received from other instances, and carries out the outputs. The work of a call is
 * bounded by the size of the message or of the member list, memory by {@link MembershipSettings#maxMembers}. Times are
 * milliseconds on the caller's clock. Not thread-safe.
 *
 * <p>Reading order: {@link #tick}, {@link FailureDetector} (SWIM sections 3.1 and 4.3), {@link MemberStates} and
 * {@link Suspicions} (section 4.2, Lifeguard), {@link LocalMember} (refutation, displacement), {@link UpdateGossip}
 * (section 4.1), {@link RejoinSchedule} (anti-entropy).
 */
public final class Membership {
    // Members that are notified of a graceful leave directly; the others learn of it by gossip.
    private static final int LEAVE_FANOUT = 8;

    private final MembershipContext context;
    private final LocalHealth health;
    private final LocalMember local;
    private final MemberList members;
    private final Suspicions suspicions;
    private final UpdateGossip gossip;
    private final MemberStates states;
    private final FailureDetector detector;
    private final RejoinSchedule rejoin;

    /**
     * @param address the address that this instance announces to the other members
     * @param epoch number of this process, higher than that of any earlier process of this name
     * @param peers names to try when no other member is known; this instance's own is ignored
     */
    public Membership(MembershipSettings settings, String self, String address, long epoch, Collection<String> peers,
        RandomGenerator random, double now) {
        context = new MembershipContext(settings, self, random, now);
        health = new LocalHealth(settings.localHealthLimit());
        local = new LocalMember(context, health, new MemberUpdate(self, address, epoch, 0, State.ALIVE, ""),
            this::cancelProbe);
        members = new MemberList(context);
        suspicions = new Suspicions(settings);
        gossip = new UpdateGossip(context, members, local.update());
        states = new MemberStates(context, members, suspicions, gossip, local);
        detector = new FailureDetector(context, members, states, gossip, local, health);
        rejoin = new RejoinSchedule(context, members, peers);
    }

    private void cancelProbe() {
        detector.cancelProbe();
    }

    // ---------------------------------------------------------------- time

    /** When {@link #tick} is due next. */
    public double nextTickAt() {
        double next = Math.min(rejoin.nextAt(), Math.min(detector.nextProbeDueAt(), suspicions.nextExpiry()));
        if (local.hasLeft() || local.isDisplaced()) {
            return next;
        }
        return Math.min(next, Math.min(detector.nextPeriodAt(), gossip.nextRoundAt()));
    }

    /** Runs what is due. A tick that is late by more than {@code pauseThreshold} shows that this process was paused. */
    public List<MembershipOutput> tick(double at) {
        advanceTo(at);
        if (local.hasLeft()) {
            return context.takeOutputs();
        }
        states.expireSuspicions();
        detector.runDueProbes();
        if (!local.isDisplaced()) {
            detector.runPeriodIfDue();
        }
        rejoin.runIfDue();
        if (!local.isDisplaced()) {
            gossip.runRoundIfDue();
        }
        return context.takeOutputs();
    }

    /**
     * Advances the clock. After a pause of this process, extends the suspicions and discards the running probes, so that a
     * slow instance suspects nobody for messages that it could not receive (Lifeguard).
     */
    private void advanceTo(double at) {
        double due = Math.max(context.now(), Math.min(nextTickAt(), at));
        double paused = at - due;
        context.advanceTo(at);
        if (paused <= context.settings().pauseThreshold()) {
            return;
        }
        suspicions.extendAll(paused);
        detector.resumeAfterPause();
        health.add(2);
        rejoin.resumeAfterPause();
        context.emit(MembershipOutput.Kind.PAUSED, context.self(), epoch(), "for " + (long) paused + " ms");
    }

    // ---------------------------------------------------------------- input

    /** Handles one datagram from another instance, whose name the transport has authenticated. */
    public List<MembershipOutput> received(double at, String from, Message message) {
        advanceTo(at);
        if (!local.hasLeft()) {
            message.updates().forEach(update -> states.apply(update, reasonOf(from)));
            detector.received(from, message);
        }
        return context.takeOutputs();
    }

    /** The last update of each known member, this instance first: what one side sends in a full exchange. */
    public List<MemberUpdate> snapshot() {
        List<MemberUpdate> snapshot = new ArrayList<>();
        snapshot.add(local.update());
        snapshot.addAll(members.updates());
        return snapshot;
    }

    /**
     * Merges the snapshot of the other side of a full exchange. A member that is dead there and present here is only
     * suspected, so that it can refute that. Otherwise the halves of a healed partition would adopt each other's
     * death reports.
     */
    public List<MembershipOutput> merge(double at, String from, List<MemberUpdate> updates) {
        advanceTo(at);
        if (!local.hasLeft()) {
            for (MemberUpdate update : updates.subList(0, Math.min(updates.size(), context.settings().maxMembers()))) {
                boolean contested = update.state() == State.DEAD && members.isPresent(update.name());
                states.apply(contested ? update.withState(State.SUSPECT, from) : update, reasonOf(from));
            }
        }
        return context.takeOutputs();
    }

    private static String reasonOf(String from) {
        return "told by " + from;
    }

    /** Leaves the fleet gracefully; after this call the instance sends no more messages. */
    public List<MembershipOutput> leave(double at) {
        advanceTo(at);
        if (local.leave()) {
            List<String> targets = members.shuffledPresent(null);
            for (String target : targets.subList(0, Math.min(LEAVE_FANOUT, targets.size()))) {
                context.send(target, new Message.Gossip(List.of(local.update())));
            }
        }
        return context.takeOutputs();
    }

    // ---------------------------------------------------------------- the view

    /** All known members, this instance first, the others sorted by name. */
    public List<MemberView> view() {
        MemberUpdate self = local.update();
        List<MemberView> view = new ArrayList<>();
        view.add(new MemberView(self.name(), self.state(), self.epoch(), self.incarnation(), 0, self.address()));
        view.addAll(members.view());
        return view;
    }

    /** Sorted names of the other members that are present, suspects included. */
    public List<String> presentMembers() {
        return members.present();
    }

    /** Number of present members, this instance included. */
    public int size() {
        return members.size();
    }

    /** Whether another member is present, suspects included. */
    public boolean isPresent(String name) {
        return members.isPresent(name);
    }

    /** The address that a member announces, or null if the member is unknown. */
    public String addressOf(String name) {
        MemberUpdate update = members.get(name);
        return update == null ? null : update.address();
    }

    /** The epoch under which this instance runs. */
    public long epoch() {
        return local.update().epoch();
    }

    /** Whether another process runs under this instance's name with a higher epoch, so that this one sends no probes. */
    public boolean isDisplaced() {
        return local.isDisplaced();
    }

    /** Lifeguard's local health multiplier: 0 while this instance seems healthy. */
    public int localHealthScore() {
        return health.score();
    }

    /** Number of updates that were dropped because the member list was full of present members. */
    public long droppedUpdates() {
        return states.droppedUpdates();
    }
}
