package kelphollow.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News on its way (SWIM section 4.1): each is told some multiple of log(n) times, the least told first, and a newer one
 * of the same instance takes the place of the older. So it holds one news an instance at most.
 */
final class GossipQueue {
    private static final int TELLINGS = 4;

    private static final class Rumour {
        final MemberUpdate news;
        int told;

        Rumour(MemberUpdate news) {
            this.news = news;
        }
    }

    private final Map<String, Rumour> waiting = new LinkedHashMap<>();

    void add(MemberUpdate news) {
        waiting.remove(news.name());
        waiting.put(news.name(), new Rumour(news));
    }

    /**
     * Another told the same: for a first word of a life that counts as a telling (the counter with feedback of Demers and
     * others 1987, section 1.4), or hundreds that start together tell each other for long what all know. Suspicions and
     * what refutes them are told as often as they are due all the same.
     */
    void heardAgain(MemberUpdate news, int members) {
        Rumour rumour = waiting.get(news.name());
        if (rumour != null && news.state() == MemberUpdate.State.ALIVE && news.incarnation() == 0 && rumour.news.equals(news)
            && ++rumour.told >= enough(members)) {
            waiting.remove(news.name());
        }
    }

    private static int enough(int members) {
        return TELLINGS * (int) Math.ceil(Math.log10(members + 1) + 0.01);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Up to {@code most} news for one datagram, {@code first} (or null) ahead of all. */
    List<MemberUpdate> next(int most, int members, MemberUpdate first) {
        List<MemberUpdate> out = new ArrayList<>();
        if (first != null) {
            out.add(first);
        }
        int enough = enough(members);
        List<Rumour> least = new ArrayList<>(waiting.values());
        least.sort(Comparator.comparingInt(r -> r.told));   // stable: among equals the older one first
        for (Rumour r : least) {
            if (out.size() >= most) {
                break;
            }
            if (first != null && r.news.name().equals(first.name())) {
                continue;
            }
            out.add(r.news);
            if (++r.told >= enough) {
                waiting.remove(r.news.name());
            }
        }
        return out;
    }
}
