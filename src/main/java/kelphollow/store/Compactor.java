package kelphollow.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Background work: writes hints for sealed segments, removes expired keys, compacts and scrubs. Writes new files beside the
 * old ones and has the writer install them in the manifest; a crash at any step leaves files that no manifest lists, which
 * the next opening deletes. An I/O error, such as a full disk, ends the current task and is logged; the store keeps running.
 * Thread-safe: tasks run one at a time.
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

    /** Calls {@code onWarning} with warnings for the operator, on the thread that does the work. */
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
                    // repeats until no task is due
                }
            } catch (StoreFault e) {
                return;          // the store was closed, or it failed and the fault has been logged
            } catch (IOException e) {
                onWarning.accept("background work failed, will be retried: " + e.getMessage());
            }
            pause();
        }
    }

    private synchronized boolean isClosing() {
        return closing;
    }

    /** Waits up to {@link #PAUSE_MILLIS}; a spurious wake-up only makes the thread look for work earlier. */
    @SuppressWarnings("WaitNotInLoop") private synchronized void pause() {
        try {
            if (!closing) {
                wait(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            closing = true;
        }
    }

    /** Ends the current pause so that the thread looks for work at once. */
    synchronized void wake() {
        notifyAll();
    }

    synchronized void close() {
        closing = true;
        notifyAll();
    }

    /** Runs one task that is due; returns false if there was none. */
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

    /** The ids of the segments to compact, and the manifest's entries at the time of the selection. */
    private record Selection(List<Long> victims, List<Manifest.Entry> entries) {}

    private boolean compact() throws IOException, StoreFault {
        long segmentBytes = options.segmentBytes();
        Selection selection =
            writer.call(log -> new Selection(log.usage().choose(segmentBytes), log.manifest().segments()));
        return !selection.victims.isEmpty() && compact(selection);
    }

    /** Compacts all sealed segments, regardless of how much of them is live; returns false if there are none. */
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

    /** Copies live operations, and tombstones whose key may have an older value in a segment that is not compacted. */
    private void copy(Manifest.Entry victim, CompactionOutput output, long oldestElsewhere)
        throws IOException, StoreFault {
        SegmentMerge merge = sealed.read(victim);
        Index index = segments.index();
        for (Operation operation : merge.operations()) {
            Index.Location latest = index.get(operation.key());
            if (operation.kind() == Operation.TOMBSTONE) {
                boolean shadowsOlder = oldestElsewhere < operation.sequence()
                    && (latest == null || latest.sequence() < operation.sequence());
                if (shadowsOlder) {
                    output.addTombstone(operation);
                }
            } else if (latest != null && latest.segment() == victim.id() && latest.offset() == operation.at()) {
                output.addLive(operation, latest);
            }
        }
    }

    // ---------------------------------------------------------------- scrubbing

    /** Always returns false: after a scrub the next is not due until {@link StoreOptions#scrubIntervalMillis} has passed. */
    private boolean scrubIfDue() throws IOException, StoreFault {
        if (options.scrubIntervalMillis() > 0 && clock.getAsLong() - scrubbedAt >= options.scrubIntervalMillis()) {
            scrubbedAt = clock.getAsLong();
            IntegrityReport report = new IntegrityReport();
            scrubber.scrubAll(report);
            report.findings().forEach(finding -> onWarning.accept("scrubbing " + finding));
        }
        return false;
    }

    /** Reads both copies of all sealed segments and repairs damage of one copy; returns the number of repaired files. */
    int scrub(IntegrityReport report) throws IOException, StoreFault {
        busy.lock();
        try {
            return scrubber.scrubAll(report);
        } finally {
            busy.unlock();
        }
    }
}
