package kelphollow.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests without a final answer, and the attempts that have not ended, those of answered requests
 * included. Confined to the thread that drives {@link Control}.
 */
final class OpenRequests {
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();
    private final Map<String, InFlightAttempt> attempts = new LinkedHashMap<>();
    private double shutdownAt = Double.POSITIVE_INFINITY;
    private long arrivals;

    /** The position of the next arrival in the order of all. */
    long nextSequence() {
        return arrivals++;
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** The open request of this id; null when there is none. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    /** Whether this very request is open; its id may have come again since it was answered. */
    boolean isOpen(PendingRequest request) {
        return byId.get(request.id()) == request;
    }

    void add(PendingRequest request) {
        byId.put(request.id(), request);
    }

    void remove(PendingRequest request) {
        byId.remove(request.id());
    }

    /** All open requests, the oldest first. */
    Collection<PendingRequest> all() {
        return byId.values();
    }

    int size() {
        return byId.size();
    }

    void addAttempt(String key, InFlightAttempt attempt) {
        attempts.put(key, attempt);
    }

    /** The attempt of this key that has not ended; null when there is none. */
    InFlightAttempt attempt(String key) {
        return attempts.get(key);
    }

    /** Forgets an attempt that has ended; null when there is none. */
    InFlightAttempt removeAttempt(String key) {
        return attempts.remove(key);
    }

    /** When all that is open gets its final answer; infinite while no shutdown is under way. */
    double shutdownAt() {
        return shutdownAt;
    }

    void shutDownAt(double time) {
        shutdownAt = time;
    }
}
