package kelphollow.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Schedules full exchanges and chooses their partners: absent members, so that partitions heal, and regularly a present one,
 * so that views that diverged through lost messages converge again (anti-entropy).
 */
final class RejoinSchedule {
    // One in this many exchanges goes to a present member even if absent ones are known.
    private static final int PRESENT_EVERY = 4;

    private final MembershipContext context;
    private final MemberList members;
    private final List<String> configuredPeers;
    private double nextAt;
    private int attempts;

    /** {@code configuredPeers}: names to try when no other member is known; this instance's own is ignored. */
    RejoinSchedule(MembershipContext context, MemberList members, Collection<String> configuredPeers) {
        this.context = context;
        this.members = members;
        this.configuredPeers = configuredPeers.stream().filter(p -> !p.equals(context.self())).sorted().toList();
        this.nextAt = context.now();
    }

    double nextAt() {
        return nextAt;
    }

    /** Makes an exchange due after a pause of this process: others may have declared this instance dead meanwhile. */
    void resumeAfterPause() {
        nextAt = context.now();
    }

    /** Starts an exchange if one is due and there is a partner. */
    void runIfDue() {
        if (context.now() < nextAt) {
            return;
        }
        nextAt = context.now() + context.settings().rejoinInterval() * 2 * context.random().nextDouble();   // full jitter
        List<String> absent = absentMembers();
        List<String> present = members.shuffledPresent(null);
        boolean preferPresent = ++attempts % PRESENT_EVERY == 0 || absent.isEmpty();
        List<String> candidates = preferPresent && !present.isEmpty() ? present : absent;
        if (!candidates.isEmpty()) {
            String partner = candidates.get(context.random().nextInt(candidates.size()));
            context.add(new MembershipOutput.FullExchange(partner));
        }
    }

    private List<String> absentMembers() {
        List<String> absent = new ArrayList<>(configuredPeers);
        absent.removeIf(members::isPresent);
        for (String name : members.dead()) {
            if (!absent.contains(name)) {
                absent.add(name);
            }
        }
        return absent;
    }
}
