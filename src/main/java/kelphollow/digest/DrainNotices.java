package kelphollow.digest;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which nodes drain by the word of other instances. What one instance was told all keep, until discovery's later word:
 * the teller takes it back, or this instance's own discovery says that the node has started anew, or takes back a drain
 * after the notice came. For one thread.
 */
public final class DrainNotices {
    /** The subject in the digest; the figure is when the node was last started, as discovery tells it. */
    public static final String SUBJECT = "drain";
    // How long a node that is gone is still named: for longer than lists are late.
    private static final double GONE = 60_000;

    private static final class Own {
        boolean draining;
        double born, takenBackAt = Double.NEGATIVE_INFINITY, goneAt = Double.NaN;
    }

    private record Notice(String teller, String node, double born) {}

    private final String self;
    private final Map<String, Own> own = new HashMap<>();
    private final Map<Notice, Double> notices = new HashMap<>();

    public DrainNotices(String self) {
        this.self = self;
    }

    /** What this instance's own discovery says of a node; the digest is changed to match. */
    public void told(double now, String node, boolean draining, boolean gone, double born, Digest digest) {
        Own o = own.computeIfAbsent(node, n -> new Own());
        if (o.draining && !draining) {
            o.takenBackAt = now;
        }
        o.draining = draining || gone;
        o.born = born;
        o.goneAt = gone ? now : Double.NaN;
        if (o.draining) {
            digest.say(SUBJECT, node, born);
        } else {
            digest.unsay(SUBJECT, node);
        }
    }

    /** The nodes that must get nothing new by the word of others. */
    public Set<String> byOthers(double now, Digest digest) {
        own.entrySet().removeIf(e -> {
            boolean old = now - e.getValue().goneAt > GONE;
            if (old) digest.unsay(SUBJECT, e.getKey());
            return old;
        });
        Map<Notice, Double> said = new HashMap<>();
        digest.on(SUBJECT, now).forEach((teller, nodes) -> nodes.forEach((node, born) -> {
            Notice notice = new Notice(teller, node, born);
            if (!teller.equals(self)) said.put(notice, notices.getOrDefault(notice, now));
        }));
        notices.clear();
        notices.putAll(said);
        Set<String> drained = new TreeSet<>();
        said.forEach((notice, since) -> {
            Own o = own.get(notice.node);
            boolean later = o != null && (o.born > notice.born || o.takenBackAt > since);
            if (!later && (o == null || !o.draining)) drained.add(notice.node);
        });
        return drained;
    }
}
