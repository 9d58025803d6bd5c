package kelphollow.membership;

import java.util.List;

/**
 * SWIM's dissemination component (section 4.1): piggybacks queued updates on other messages, and sends them in gossip rounds
 * of their own (Lifeguard's implementation in memberlist) while some are queued.
 */
final class UpdateGossip {
    private final MembershipContext context;
    private final MemberList members;
    private final GossipQueue queue = new GossipQueue();
    private double nextRoundAt = Double.POSITIVE_INFINITY;

    /** {@code first} is queued without scheduling a round: it waits to be piggybacked on another message. */
    UpdateGossip(MembershipContext context, MemberList members, MemberUpdate first) {
        this.context = context;
        this.members = members;
        queue.add(first);
    }

    /** Queues an update; a round is due within the gossip interval. */
    void enqueue(MemberUpdate update) {
        queue.add(update);
        nextRoundAt = Math.min(nextRoundAt, context.now() + context.settings().gossipInterval());
    }

    void receivedDuplicate(MemberUpdate update) {
        queue.receivedDuplicate(update, members.size());
    }

    /** Updates for one message. */
    List<MemberUpdate> piggyback() {
        return piggyback(null);
    }

    /** Updates for one message, {@code first} (or null) ahead of all. */
    List<MemberUpdate> piggyback(MemberUpdate first) {
        return queue.next(context.settings().maxUpdatesPerMessage(), members.size(), first);
    }

    /** When the next round is due, or infinity. */
    double nextRoundAt() {
        return nextRoundAt;
    }

    /** Sends a round if one is due. */
    void runRoundIfDue() {
        if (context.now() < nextRoundAt) {
            return;
        }
        List<String> targets = members.shuffledPresent(null);
        if (queue.isEmpty() || targets.isEmpty()) {
            nextRoundAt = Double.POSITIVE_INFINITY;
            return;
        }
        for (String target : targets.subList(0, Math.min(context.settings().gossipFanout(), targets.size()))) {
            List<MemberUpdate> updates = piggyback();
            if (!updates.isEmpty()) {
                context.send(target, new Message.Gossip(updates));
            }
        }
        nextRoundAt = queue.isEmpty() ? Double.POSITIVE_INFINITY : context.now() + context.settings().gossipInterval();
    }
}
