package kelphollow.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The running suspicion timeouts by member (SWIM section 4.2, Lifeguard's LHA-Suspicion), at most one per member.
 */
final class Suspicions {
    private final MembershipSettings settings;
    private final Map<String, Suspicion> byMember = new HashMap<>();

    Suspicions(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Starts the timeout of a suspected member in a fleet of {@code size} present members. */
    void start(double now, MemberUpdate suspect, int size) {
        double shortest = settings.suspicionMultiplier() * Math.max(1, Math.log10(size + 1)) * settings.protocolPeriod();
        // All present members can confirm but the suspect and its first accuser.
        int confirmations = Math.min(settings.suspicionConfirmations(), size - 2);
        double longest = confirmations < 1 ? shortest : shortest * settings.suspicionMaxFactor();
        byMember.put(suspect.name(), new Suspicion(now, shortest, longest, Math.max(1, confirmations), suspect.accuser()));
    }

    /** Adds the accuser of an update to a running timeout. True if that shortened it. */
    boolean confirm(MemberUpdate suspect) {
        Suspicion suspicion = byMember.get(suspect.name());
        return suspicion != null && suspicion.confirm(suspect.accuser());
    }

    void cancel(String name) {
        byMember.remove(name);
    }

    /** Members whose timeout has expired. */
    List<String> expired(double now) {
        return byMember.entrySet().stream().filter(e -> now >= e.getValue().expiresAt()).map(Map.Entry::getKey).toList();
    }

    /** Extends all timeouts by the time for which this process was paused. */
    void extendAll(double millis) {
        byMember.values().forEach(s -> s.extend(millis));
    }

    /** When the first timeout expires, or infinity. */
    double nextExpiry() {
        double next = Double.POSITIVE_INFINITY;
        for (Suspicion suspicion : byMember.values()) {
            next = Math.min(next, suspicion.expiresAt());
        }
        return next;
    }
}
