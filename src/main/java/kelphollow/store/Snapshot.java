package kelphollow.store;

import java.io.IOException;
import java.util.List;

/** The store as it was at one moment; keeps the files it needs until it is closed. Any thread, one at a time. */
public final class Snapshot implements AutoCloseable {
    /** Called with each key and value; false ends the scan. */
    public interface Visitor {
        boolean visit(byte[] key, byte[] value) throws IOException;
    }

    private final Store store;
    private final Index index;
    private final List<Segment> pinned;
    private final long time;
    private boolean closed;

    Snapshot(Store store, Index index, List<Segment> pinned, long time) {
        this.store = store;
        this.index = index;
        this.pinned = pinned;
        this.time = time;
    }

    /** The value, or null. Throws a fault of kind DAMAGED if it is whole in neither copy. */
    public byte[] get(String table, byte[] key) throws IOException, StoreFault {
        byte[] name = store.tables().key(table, key);
        Index.Place place = name == null ? null : index.get(name);
        return place == null || isExpired(place) ? null : value(name, place);
    }

    private boolean isExpired(Index.Place place) {
        return place.expires() > 0 && place.expires() <= time;
    }

    private byte[] value(byte[] key, Index.Place place) throws IOException, StoreFault {
        Segment segment = pinned.stream().filter(s -> s.id() == place.segment()).findFirst().orElseThrow();
        return store.value(segment, key, place);
    }

    /** All that stands in a table from a key on, in the order of the keys' unsigned bytes. */
    public void scan(String table, byte[] from, Visitor visitor) throws IOException, StoreFault {
        byte[] start = store.tables().key(table, from);
        if (start == null) {
            return;
        }
        Exception[] thrown = new Exception[1];
        index.walk(start, (key, place) -> {
            if (key[0] != start[0] || key[1] != start[1]) {
                return false;
            }
            try {
                return isExpired(place) || visitor.visit(Tables.keyOf(key), value(key, place));
            } catch (IOException | StoreFault e) {
                thrown[0] = e;
                return false;
            }
        });
        if (thrown[0] instanceof IOException e) {
            throw e;
        }
        if (thrown[0] instanceof StoreFault e) {
            throw e;
        }
    }

    /** How many keys there are in all tables, expired ones that are not yet removed among them. */
    public int size() {
        return index.size();
    }

    @Override public void close() {
        if (!closed) {
            closed = true;
            pinned.forEach(Segment::release);
        }
    }
}
