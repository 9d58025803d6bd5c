package kelphollow.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests without a final answer, and attempts that have not ended, including those of answered requests.
 * Confined to the thread that drives {@link Control}.
 */
final class OpenRequests {
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();
    private final Map<String, InFlightAttempt> attempts = new LinkedHashMap<>();
    private double shutdownAt = Double.POSITIVE_INFINITY;
    private long arrivals;

    /** Assigns the next sequence number in the order of arrival. */
    long nextSequence() {
        return arrivals++;
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** The open request with this id, or null. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    /** Whether this particular request is open; clients may reuse its id once it is answered. */
    boolean isOpen(PendingRequest request) {
        return byId.get(request.id()) == request;
    }

    void add(PendingRequest request) {
        byId.put(request.id(), request);
        request.volume.openRequests++;
    }

    void remove(PendingRequest request) {
        if (byId.remove(request.id(), request)) {
            request.volume.openRequests--;
        }
    }

    /** All open requests, oldest first. */
    Collection<PendingRequest> all() {
        return byId.values();
    }

    int size() {
        return byId.size();
    }

    void addAttempt(String key, InFlightAttempt attempt) {
        attempts.put(key, attempt);
    }

    /** The attempt with this key that has not ended, or null. */
    InFlightAttempt attempt(String key) {
        return attempts.get(key);
    }

    /** Removes and returns the attempt with this key, or returns null. */
    InFlightAttempt removeAttempt(String key) {
        return attempts.remove(key);
    }

    /** Time at which all open requests get their final answer; infinite unless a shutdown is in progress. */
    double shutdownAt() {
        return shutdownAt;
    }

    void shutDownAt(double time) {
        shutdownAt = time;
    }
}
