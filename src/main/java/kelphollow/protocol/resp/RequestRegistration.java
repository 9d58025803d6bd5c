package kelphollow.protocol.resp;

/**
 * The entry of one request in {@link ForwardedIds}: registered while any of its attempts may have run. Confined to the
 * event loop.
 */
final class RequestRegistration {
    private final ForwardedIds ids;
    private final String id;
    /** Attempts that were forwarded and have not proved not to have run. */
    private int attempts;

    /** {@code ids}: null if the request may run any number of times, and is not registered. */
    RequestRegistration(ForwardedIds ids, String id) {
        this.ids = ids;
        this.id = id;
    }

    /** Whether registering the request takes time, since other processes see it. */
    boolean isShared() {
        return ids != null;
    }

    /** An attempt is forwarded now; returns false if a request with this id may have run already. */
    boolean forwarded() {
        if (ids != null && attempts == 0 && !ids.add(id)) {
            return false;
        }
        attempts++;
        return true;
    }

    /** An attempt that was forwarded has proved not to have run. */
    void provedNotExecuted() {
        attempts--;
        if (ids != null && attempts == 0) {
            ids.remove(id);
        }
    }
}
