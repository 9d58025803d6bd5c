package kelphollow.protocol.resp;

/**
 * Register of the ids of requests that must not run twice and whose command may have reached a node. A client that lost
 * its connection may send such a request again under the same id, also after its first request was closed because the
 * client had left. Confined to the event loop.
 */
public interface ForwardedIds {
    /** Whether a request with this id may have run. */
    boolean contains(String id);

    /** Registers the id before its command is written; returns false if it is registered already. */
    boolean add(String id);

    /** Removes the id: its command has proved not to have run. */
    void remove(String id);
}
