package kelphollow.protocol.object;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import kelphollow.ledger.CompletionRecords;
import kelphollow.ledger.CompletionRecords.RecordedResponse;
import kelphollow.recovery.RecoveredOutcome;
import kelphollow.recovery.RecoveredOutcome.Kind;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.store.StoreFault;

/**
 * Tracks the completions of multipart uploads, so that none runs twice and a client that retries one that ran gets the
 * same response. Memory is bounded: the oldest are evicted. The node no longer knows their uploads either. Confined to
 * the event loop.
 */
final class Completions {
    /** The completion of one upload. {@code outcome} is null until it is sent, {@code response} until it has run. */
    final class Completion {
        private final String upload;
        private RecoveredOutcome outcome;
        private RecordedResponse response;
        private double unknownSince;

        private Completion(String upload) {
            this.upload = upload;
        }

        Kind kind() {
            return outcome == null ? Kind.NEVER_RAN : outcome.kind();
        }

        /** The recorded response, or null unless the completion ran. */
        RecordedResponse response() {
            return response;
        }

        /** Milliseconds until an attempt with an unknown outcome can no longer take effect. */
        double millisUntilSettled(double now) {
            return Math.max(0, unknownSince + settleTime - now);
        }

        /**
         * The completion is about to be sent. {@code then} receives null once the intent is durable, or the fault that
         * prevented it.
         */
        void markRunning(double now, Consumer<StoreFault> then) {
            outcome = new RecoveredOutcome(Kind.RUNNING, 0);
            if (records == null) {
                then.accept(null);
            } else {
                records.recordIntent(upload, now, then);
            }
        }

        /** The completion ran and got this response. */
        void markRan(RecordedResponse recorded, double now) {
            outcome = new RecoveredOutcome(Kind.RAN, 0);
            response = recorded;
            if (records != null) {
                records.recordResponse(upload, recorded, now);
            }
        }

        /** The completion may have run; {@code now} is the time of its attempt's last activity. */
        void markUnknown(double now) {
            outcome = new RecoveredOutcome(Kind.UNKNOWN, now + settleTime);
            unknownSince = now;
        }

        /** The completion provably never ran. */
        void markNeverRan() {
            completions.remove(upload, this);
            if (records != null) {
                records.removeIntent(upload);
            }
        }
    }

    private final int capacity;
    private final double settleTime;
    private final CompletionRecords records;
    private final Map<String, Completion> completions = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * @param capacity largest number of completions that are remembered
     * @param settleTime milliseconds for which an attempt may still take effect after its last activity
     * @param records null without persistence
     */
    Completions(int capacity, double settleTime, CompletionRecords records) {
        this.capacity = capacity;
        this.settleTime = settleTime;
        this.records = records;
    }

    /** Loads the outcomes that earlier incarnations recorded. */
    void restore(RecoveredOutcomes recovered, double now) throws IOException, StoreFault {
        records.read((upload, found, epoch, response) -> {
            Completion completion = new Completion(upload);
            completion.outcome = recovered.classify(found, epoch, false);
            completion.response = response;
            completion.unknownSince = now;
            completions.put(upload, completion);
        });
        while (completions.size() > capacity && evict()) {
            // evicted completions are looked up at the node
        }
    }

    /**
     * Returns the completion of an upload, or null if the capacity is used up by completions that cannot be evicted.
     *
     * @param neverSent whether it is certain that none was sent yet
     * @param lastAt otherwise, the latest time at which one may have been sent
     */
    Completion find(String upload, boolean neverSent, double lastAt) {
        Completion completion = completions.get(upload);
        if (completion == null && (completions.size() < capacity || evict())) {
            completion = new Completion(upload);
            if (!neverSent) {
                completion.markUnknown(lastAt);
            }
            completions.put(upload, completion);
        }
        return completion;
    }

    private boolean evict() {
        for (Completion completion : completions.values()) {
            if (completion.kind() == Kind.RAN || completion.kind() == Kind.NEVER_RAN) {
                completions.remove(completion.upload);
                return true;
            }
        }
        return false;
    }
}
