package kelphollow.membership;

import kelphollow.membership.MemberUpdate.State;
import kelphollow.membership.MembershipOutput.Kind;

/**
 * The state transitions of members (SWIM section 4.2): applies updates and failed probes to the member list and the
 * suspicion timeouts, and gossips the updates that changed them.
 */
final class MemberStates {
    private final MembershipContext context;
    private final MemberList members;
    private final Suspicions suspicions;
    private final UpdateGossip gossip;
    private final LocalMember local;
    private long droppedUpdates;

    MemberStates(MembershipContext context, MemberList members, Suspicions suspicions, UpdateGossip gossip,
        LocalMember local) {
        this.context = context;
        this.members = members;
        this.suspicions = suspicions;
        this.gossip = gossip;
        this.local = local;
    }

    /** Number of updates that were dropped because the member list was full of present members. */
    long droppedUpdates() {
        return droppedUpdates;
    }

    /** Applies one update; {@code reason} goes into the event if the state changes. */
    void apply(MemberUpdate update, String reason) {
        if (update.name().equals(context.self())) {
            local.apply(update, gossip);
            return;
        }
        MemberUpdate before = members.get(update.name());
        if (before == null) {
            addUnknown(update, reason);
        } else if (update.overrides(before)) {
            transition(before, update, reason);
        } else {
            if (update.state() == State.SUSPECT) {
                confirm(update);
            }
            gossip.receivedDuplicate(update);
        }
    }

    /** Adds an unknown member if it is present. The list stays bounded even if a sender makes up members. */
    private void addUnknown(MemberUpdate update, String reason) {
        if (!update.isPresent()) {
            return;
        }
        if (!members.ensureCapacity()) {
            droppedUpdates++;
            return;
        }
        members.put(update.withState(State.ALIVE, ""));
        context.emit(Kind.JOINED, update.name(), update.epoch(), reason);
        gossip.enqueue(update);
        if (update.state() == State.SUSPECT) {
            apply(update, reason);
        }
    }

    private void transition(MemberUpdate before, MemberUpdate update, String reason) {
        members.put(update);
        suspicions.cancel(update.name());
        gossip.enqueue(update);
        switch (update.state()) {
            case ALIVE -> {
                if (before.epoch() != update.epoch() || before.state() == State.LEFT) {
                    context.emit(Kind.JOINED, update.name(), update.epoch(), reason);
                } else if (before.state() != State.ALIVE) {
                    context.emit(Kind.CLEARED, update.name(), update.epoch(), reason);
                }
            }
            case SUSPECT -> {
                suspicions.start(context.now(), update, members.size());
                if (before.state() != State.SUSPECT) {
                    context.emit(Kind.SUSPECTED, update.name(), update.epoch(), reason);
                }
            }
            case DEAD -> context.emit(Kind.FAILED, update.name(), update.epoch(), reason);
            case LEFT -> context.emit(Kind.LEFT, update.name(), update.epoch(), reason);
        }
    }

    /** The probe of a member failed: suspects it, or confirms a suspicion as one more accuser. */
    void probeFailed(String target) {
        MemberUpdate update = members.get(target);
        if (update != null && update.state() == State.ALIVE) {
            apply(update.withState(State.SUSPECT, context.self()), "no answer");
        } else if (update != null && update.state() == State.SUSPECT) {
            confirm(update.withState(State.SUSPECT, context.self()));
        }
    }

    /** Declares the members dead whose suspicion has timed out. */
    void expireSuspicions() {
        for (String name : suspicions.expired(context.now())) {
            apply(members.get(name).withState(State.DEAD, context.self()), "suspected for too long");
        }
    }

    private void confirm(MemberUpdate suspect) {
        MemberUpdate known = members.get(suspect.name());
        if (known != null && known.epoch() == suspect.epoch() && known.incarnation() == suspect.incarnation()
            && suspicions.confirm(suspect)) {
            gossip.enqueue(suspect);       // so that the timeout shortens on other members too
        }
    }
}
