package kelphollow.membership;

import kelphollow.membership.MemberUpdate.State;

/**
 * This instance as a member. Refutes reports that it is suspect, dead or left (SWIM section 4.2), and is displaced while
 * another process runs under its name with a higher epoch: it then takes no part in probes and gossip rounds.
 */
final class LocalMember {
    private final MembershipContext context;
    private final LocalHealth health;
    private final Runnable onDisplaced;
    private MemberUpdate update;
    private boolean displaced;
    private boolean left;

    /** {@code onDisplaced} is called once each time this instance becomes displaced. */
    LocalMember(MembershipContext context, LocalHealth health, MemberUpdate update, Runnable onDisplaced) {
        this.context = context;
        this.health = health;
        this.update = update;
        this.onDisplaced = onDisplaced;
    }

    MemberUpdate update() {
        return update;
    }

    boolean isDisplaced() {
        return displaced;
    }

    boolean hasLeft() {
        return left;
    }

    /** Enters the state LEFT. True if the other members are to be notified. */
    boolean leave() {
        boolean notify = !left && !isDisplaced();
        if (notify) {
            update = update.withState(State.LEFT, "");
        }
        left = true;
        return notify;
    }

    /** Applies an update about this instance that another member sent; a refutation is queued in {@code gossip}. */
    void apply(MemberUpdate reported, UpdateGossip gossip) {
        if (reported.epoch() > update.epoch()) {
            applyHigherEpoch(reported, gossip);
        } else if (reported.epoch() == update.epoch()) {
            applySameEpoch(reported, gossip);
        }
    }

    private void applyHigherEpoch(MemberUpdate reported, UpdateGossip gossip) {
        if (!reported.isPresent() || reported.address().equals(update.address())) {
            raiseEpoch(reported.epoch() + 1, gossip);      // from an earlier process of this instance, whose store was lost
        } else if (!isDisplaced()) {
            displaced = true;
            onDisplaced.run();
            context.emit(MembershipOutput.Kind.DISPLACED, context.self(), reported.epoch(),
                "another lives at " + reported.address());
        }
    }

    private void applySameEpoch(MemberUpdate reported, UpdateGossip gossip) {
        if (reported.state() == State.LEFT) {
            raiseEpoch(reported.epoch() + 1, gossip);
        } else if (reported.state() != State.ALIVE && reported.incarnation() >= update.incarnation()) {
            update = alive(update.epoch(), reported.incarnation() + 1);
            health.add(1);
            gossip.enqueue(update);
            context.emit(MembershipOutput.Kind.REFUTED, context.self(), update.epoch(),
                reported.state() + " by " + reported.accuser());
        } else if (reported.state() == State.ALIVE && reported.incarnation() > update.incarnation()) {
            update = alive(update.epoch(), reported.incarnation());
        }
    }

    private void raiseEpoch(long epoch, UpdateGossip gossip) {
        displaced = false;
        update = alive(epoch, 0);
        gossip.enqueue(update);
        context.add(new MembershipOutput.EpochRaised(epoch));
    }

    private MemberUpdate alive(long epoch, long incarnation) {
        return new MemberUpdate(context.self(), update.address(), epoch, incarnation, State.ALIVE, "");
    }
}
