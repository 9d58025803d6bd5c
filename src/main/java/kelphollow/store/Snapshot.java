package kelphollow.store;

import java.io.IOException;

/** A consistent view of the store; pins its files until it is closed. Used by one thread at a time. */
public final class Snapshot implements AutoCloseable {
    /** Receives the keys and values of a scan. */
    public interface Visitor {
        /** Called with each key and value; returning false ends the scan. */
        boolean visit(byte[] key, byte[] value) throws IOException;
    }

    private final SegmentSet segments;
    private final SegmentSet.Pinned view;
    private final Tables tables;
    private final long time;
    private boolean closed;

    Snapshot(SegmentSet segments, SegmentSet.Pinned view, Tables tables, long time) {
        this.segments = segments;
        this.view = view;
        this.tables = tables;
        this.time = time;
    }

    /** Returns the value of a key, or null. Throws a fault of kind DAMAGED if it is intact in neither copy. */
    public byte[] get(String table, byte[] key) throws IOException, StoreFault {
        byte[] indexKey = tables.key(table, key);
        Index.Location location = indexKey == null ? null : view.index().get(indexKey);
        return location == null || location.isExpired(time) ? null : value(indexKey, location);
    }

    private byte[] value(byte[] indexKey, Index.Location location) throws IOException, StoreFault {
        Segment segment = view.segments().stream().filter(s -> s.id() == location.segment()).findFirst().orElseThrow();
        return segments.read(segment, indexKey, location);
    }

    /** Visits the keys of a table from {@code from} (inclusive) on, in unsigned byte order. */
    public void scan(String table, byte[] from, Visitor visitor) throws IOException, StoreFault {
        byte[] start = tables.key(table, from);
        if (start == null) {
            return;
        }
        for (Index.Entry entry : view.index().entriesFrom(start)) {
            byte[] key = entry.key();
            if (!Tables.isSameTable(key, start)) {
                return;
            }
            Index.Location location = entry.location();
            if (!location.isExpired(time) && !visitor.visit(Tables.keyOf(key), value(key, location))) {
                return;
            }
        }
    }

    /** Number of keys in all tables, including expired ones that have not been removed yet. */
    public int size() {
        return view.index().size();
    }

    @Override public void close() {
        if (!closed) {
            closed = true;
            view.release();
        }
    }
}
