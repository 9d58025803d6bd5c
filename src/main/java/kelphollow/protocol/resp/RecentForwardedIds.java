package kelphollow.protocol.resp;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The ids that this process has forwarded, the latest {@link #CAPACITY} of them, in memory. Confined to the event loop. */
public final class RecentForwardedIds implements ForwardedIds {
    /** More than a process forwards of such requests while a client may still send one again. */
    public static final int CAPACITY = 8_192;

    private final Set<String> ids = new LinkedHashSet<>();
    private final Consumer<String> whenForgotten;

    /** Creates an empty register. */
    public RecentForwardedIds() {
        this(id -> {});
    }

    /** Creates an empty register; {@code whenForgotten} is called with each id that makes room for another. */
    public RecentForwardedIds(Consumer<String> whenForgotten) {
        this.whenForgotten = whenForgotten;
    }

    @Override public boolean contains(String id) {
        return ids.contains(id);
    }

    @Override public boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        if (ids.size() > CAPACITY) {
            Iterator<String> oldest = ids.iterator();
            String forgotten = oldest.next();
            oldest.remove();
            whenForgotten.accept(forgotten);
        }
        return true;
    }

    @Override public void remove(String id) {
        ids.remove(id);
    }
}
