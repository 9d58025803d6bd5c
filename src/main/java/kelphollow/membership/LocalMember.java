package kelphollow.membership;

import kelphollow.membership.MemberUpdate.State;

/**
 * This instance as a member: refutes what others wrongly say of it (SWIM section 4.2), and stands down while another process
 * runs under its name with a higher epoch.
 */
final class LocalMember {
    private final MembershipContext context;
    private final LocalHealth health;
    private final Runnable onDisplaced;
    private MemberUpdate update;
    private boolean displaced;
    private boolean left;

    /** {@code onDisplaced} is called once each time this instance stands down. */
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

    /** Enters the final state. True if the other members are to be notified. */
    boolean leave() {
        boolean notify = !left && !isDisplaced();
        if (notify) {
            update = update.withState(State.LEFT, "");
        }
        left = true;
        return notify;
    }

    /** Reacts to another member's statement about this one; what refutes it goes out through {@code gossip}. */
    void apply(MemberUpdate stated, UpdateGossip gossip) {
        if (stated.epoch() > update.epoch()) {
            applyHigherEpoch(stated, gossip);
        } else if (stated.epoch() == update.epoch()) {
            applySameEpoch(stated, gossip);
        }
    }

    private void applyHigherEpoch(MemberUpdate stated, UpdateGossip gossip) {
        if (!stated.isPresent() || stated.address().equals(update.address())) {
            raiseEpoch(stated.epoch() + 1, gossip);      // an earlier process of this instance, whose store was lost
        } else if (!isDisplaced()) {
            displaced = true;
            onDisplaced.run();
            context.emit(MembershipOutput.Kind.DISPLACED, context.self(), stated.epoch(),
                "another lives at " + stated.address());
        }
    }

    private void applySameEpoch(MemberUpdate stated, UpdateGossip gossip) {
        if (stated.state() == State.LEFT) {
            raiseEpoch(stated.epoch() + 1, gossip);
        } else if (stated.state() != State.ALIVE && stated.incarnation() >= update.incarnation()) {
            update = alive(update.epoch(), stated.incarnation() + 1);
            health.add(1);
            gossip.enqueue(update);
            context.emit(MembershipOutput.Kind.REFUTED, context.self(), update.epoch(),
                stated.state() + " by " + stated.accuser());
        } else if (stated.state() == State.ALIVE && stated.incarnation() > update.incarnation()) {
            update = alive(update.epoch(), stated.incarnation());
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
