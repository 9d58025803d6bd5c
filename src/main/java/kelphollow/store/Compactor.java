package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Background work: hints for sealed segments, removal of what has expired, compaction, scrubbing. It writes new files
 * beside the old ones and has the writer put them in force; a crash at any step leaves files that no manifest names, which
 * the next opening deletes. If it cannot write (a full disk) it gives up for now and the store goes on. Thread-safe: one
 * piece of work at a time, whoever asks.
 */
final class Compactor implements Runnable {
    private static final int MAX_EXPIRED_KEYS_PER_BATCH = 1_000;
    private static final long PAUSE_MILLIS = 1_000;

    private final SegmentSet segments;
    private final Writer writer;
    private final StoreOptions options;
    private final StoreClock clock;
    private final Consumer<String> onWarning;
    private final IoThrottle throttle;
    private final SealedSegments sealed;
    private final Scrubber scrubber;
    private final ReentrantLock busy = new ReentrantLock();
    private boolean closing;
    private long scrubbedAt;

    /** Calls {@code onWarning} with what an operator should know, on the thread that works. */
    Compactor(SegmentSet segments, Writer writer, StoreOptions options, StoreClock clock, Consumer<String> onWarning) {
        this.segments = segments;
        this.writer = writer;
        this.options = options;
        this.clock = clock;
        this.onWarning = onWarning;
        this.scrubbedAt = clock.getAsLong();
        this.throttle = options.inline() ? IoThrottle.UNLIMITED : IoThrottle.of(options.compactBytesPerSecond());
        this.sealed = new SealedSegments(segments, writer, throttle);
        this.scrubber = new Scrubber(segments, writer, sealed);
    }

    // ---------------------------------------------------------------- the background thread

    @Override public void run() {
        while (!isClosing()) {
            try {
                while (!isClosing() && runOnce()) {
                    // until nothing is due
                }
            } catch (StoreFault e) {
                return;          // closed, or failed, which has been logged
            } catch (IOException e) {
                onWarning.accept("compaction gives up for now: " + e.getMessage());
            }
            pause();
        }
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    /** Waits a while; a spurious wake-up only looks for work early. */
    @SuppressWarnings("WaitNotInLoop") private synchronized void pause() {
        try {
            if (!closing) {
                wait(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            closing = true;
        }
    }

    /** Ends the pause, because there may be work. */
    synchronized void wake() {
        notifyAll();
    }

    synchronized void close() {
        closing = true;
        notifyAll();
    }

    /** Does one piece of work; false if none was due. */
    boolean runOnce() throws IOException, StoreFault {
        busy.lock();
        try {
            return writeMissingHint() || expire() || compact() || scrubIfDue();
        } finally {
            busy.unlock();
        }
    }

    private boolean writeMissingHint() throws IOException, StoreFault {
        for (Manifest.Entry entry : writer.call(CommitLog::manifest).segments()) {
            if (entry.isSealed() && entry.hintLength() == 0 && entry.operations() > 0) {
                SegmentHint hint = sealed.writeHint(entry.id(), sealed.read(entry));
                writer.run(log -> log.installHint(entry.id(), hint));
                return true;
            }
        }
        return false;
    }

    private boolean expire() throws IOException, StoreFault {
        long now = writer.call(CommitLog::time);
        List<byte[]> expired = new ArrayList<>();
        for (Index.Entry entry : segments.index().entriesFrom(new byte[0])) {
            if (entry.location().isExpired(now)) {
                expired.add(entry.key());
                if (expired.size() == MAX_EXPIRED_KEYS_PER_BATCH) {
                    break;
                }
            }
        }
        return !expired.isEmpty() && writer.call(log -> log.expire(expired)) > 0;
    }

    // ---------------------------------------------------------------- compaction

    /** What to compact: the numbers of the segments, and the manifest's entries at that time. */
    private record Selection(List<Long> victims, List<Manifest.Entry> entries) {}

    private boolean compact() throws IOException, StoreFault {
        long segmentBytes = options.segmentBytes();
        Selection selection =
            writer.call(log -> new Selection(log.usage().choose(segmentBytes), log.manifest().segments()));
        return !selection.victims.isEmpty() && compact(selection);
    }

    /** Compacts all sealed segments, whatever is live in them; false if there is none. */
    boolean compactAll() throws IOException, StoreFault {
        busy.lock();
        try {
            List<Manifest.Entry> entries = writer.call(CommitLog::manifest).segments();
            List<Long> all = entries.stream().filter(Manifest.Entry::isSealed).map(Manifest.Entry::id).toList();
            return !all.isEmpty() && compact(new Selection(all, entries));
        } finally {
            busy.unlock();
        }
    }

    private boolean compact(Selection selection) throws IOException, StoreFault {
        long firstSequence = Long.MAX_VALUE;
        long oldestElsewhere = Long.MAX_VALUE;
        for (Manifest.Entry entry : selection.entries) {
            if (selection.victims.contains(entry.id())) {
                firstSequence = Math.min(firstSequence, entry.firstSequence());
            } else {
                oldestElsewhere = Math.min(oldestElsewhere, entry.firstSequence());
            }
        }
        CompactionOutput output = new CompactionOutput(segments, writer, sealed, throttle, options.segmentBytes(),
            firstSequence);
        boolean inForce = false;
        try {
            for (Manifest.Entry entry : selection.entries) {
                if (selection.victims.contains(entry.id())) {
                    copy(entry, output, oldestElsewhere);
                }
            }
            output.finish();
            writer.run(log -> log.replace(selection.victims, output));
            inForce = true;
        } finally {
            if (!inForce) {
                output.abandon(writer.fault() == null);
            }
        }
        return true;
    }

    /** Copies what is live, and removals that still hide something older in a segment that stays. */
    private void copy(Manifest.Entry victim, CompactionOutput output, long oldestElsewhere)
        throws IOException, StoreFault {
        SegmentMerge merge = sealed.read(victim);
        Index index = segments.index();
        for (Operation operation : merge.operations()) {
            Index.Location latest = index.get(operation.key());
            if (operation.kind() == Operation.REMOVE) {
                boolean hidesOlder = oldestElsewhere < operation.sequence()
                    && (latest == null || latest.sequence() < operation.sequence());
                if (hidesOlder) {
                    output.addTombstone(operation);
                }
            } else if (latest != null && latest.segment() == victim.id() && latest.offset() == operation.at()) {
                output.addLive(operation, latest);
            }
        }
    }

    // ---------------------------------------------------------------- scrubbing

    /** Never reports work done: what is due now is not due again at once. */
    private boolean scrubIfDue() throws IOException, StoreFault {
        if (options.scrubEvery() > 0 && clock.getAsLong() - scrubbedAt >= options.scrubEvery()) {
            scrubbedAt = clock.getAsLong();
            IntegrityReport report = new IntegrityReport();
            scrubber.scrubAll(report);
            report.findings().forEach(finding -> onWarning.accept("scrubbing " + finding));
        }
        return false;
    }

    /** Reads both copies of all sealed segments now and repairs what is damaged in one; the number of repaired files. */
    int scrub(IntegrityReport report) throws IOException, StoreFault {
        busy.lock();
        try {
            return scrubber.scrubAll(report);
        } finally {
            busy.unlock();
        }
    }
}
