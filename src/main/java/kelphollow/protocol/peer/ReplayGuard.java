package kelphollow.protocol.peer;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Lets each counter of a life through once: a sliding window as IPsec has it (RFC 4303, section 3.4.3). A life is
 * replaced by one of a higher epoch, or of the same epoch if it answered a challenge; lives that were replaced are not
 * believed again. Bounded in names; for one thread.
 */
final class ReplayGuard {
    /** Counters that may arrive late, behind the highest seen. */
    static final int WINDOW = 1_024;
    private static final int RETIRED = 16;

    private static final class Life {
        String id;
        long epoch, highest;
        final BitSet seen = new BitSet(WINDOW);
        final ArrayDeque<String> retired = new ArrayDeque<>();
    }

    private final int mostNames;
    private final Map<String, Life> lives = new LinkedHashMap<>(16, 0.75f, true);

    ReplayGuard(int mostNames) {
        this.mostNames = mostNames;
    }

    /** Whether it is new. {@code challenged}: it answers a challenge made just now, so it is no replay. */
    boolean accept(Seal.Sealed sealed, boolean challenged) {
        Life life = lives.get(sealed.name());
        if (life == null) {
            if (lives.size() >= mostNames) {
                lives.remove(lives.keySet().iterator().next());
            }
            life = new Life();
            lives.put(sealed.name(), life);
            adopt(life, sealed);
            return true;
        }
        if (!sealed.life().equals(life.id)) {
            if (challenged && sealed.epoch() < life.epoch) {
                return true;               // it lives, and is to hear of the later life; that one is not replaced by it
            }
            if (life.retired.contains(sealed.life()) || !challenged && sealed.epoch() <= life.epoch) {
                return false;
            }
            if (life.retired.size() >= RETIRED) {
                life.retired.poll();
            }
            life.retired.add(life.id);
            adopt(life, sealed);
            return true;
        }
        life.epoch = Math.max(life.epoch, sealed.epoch());
        long behind = life.highest - sealed.counter();
        if (behind >= WINDOW) {
            return false;
        }
        if (behind < 0) {
            // The window moves on: what it leaves behind is cleared for the counters that come.
            for (long c = life.highest + 1; c <= sealed.counter() && c <= life.highest + WINDOW; c++) {
                life.seen.clear((int) (c % WINDOW));
            }
            if (-behind > WINDOW) {
                life.seen.clear();
            }
            life.highest = sealed.counter();
        } else if (life.seen.get((int) (sealed.counter() % WINDOW))) {
            return false;
        }
        life.seen.set((int) (sealed.counter() % WINDOW));
        return true;
    }

    private static void adopt(Life life, Seal.Sealed sealed) {
        life.id = sealed.life();
        life.epoch = sealed.epoch();
        life.highest = sealed.counter();
        life.seen.clear();
        life.seen.set((int) (sealed.counter() % WINDOW));
    }
}
