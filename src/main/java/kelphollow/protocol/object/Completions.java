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
 * What is known of the completions of uploads, so that none runs twice and one that ran gets the same response when its
 * client retries. Memory is bounded: the oldest are forgotten, and their uploads are unknown to the node too. For the event
 * loop alone.
 */
final class Completions {
    /** One upload's completion: {@code outcome} null while nothing was sent, {@code response} once it ran. */
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

        /** The recorded response, or null unless it ran. */
        RecordedResponse response() {
            return response;
        }

        /** How long until what the node does not have will not come any more, in milliseconds. */
        double millisUntilSettled(double now) {
            return Math.max(0, unknownSince + settleTime - now);
        }

        /** It is about to be sent; {@code then} gets null once that cannot be forgotten any more, or what hinders it. */
        void markRunning(double now, Consumer<StoreFault> then) {
            outcome = new RecoveredOutcome(Kind.RUNNING, 0);
            if (records == null) {
                then.accept(null);
            } else {
                records.recordIntent(upload, now, then);
            }
        }

        /** It ran, with this response. */
        void markRan(RecordedResponse recorded, double now) {
            outcome = new RecoveredOutcome(Kind.RAN, 0);
            response = recorded;
            if (records != null) {
                records.recordResponse(upload, recorded, now);
            }
        }

        /** It may have run; {@code now} is the time of its last sign. */
        void markUnknown(double now) {
            outcome = new RecoveredOutcome(Kind.UNKNOWN, now + settleTime);
            unknownSince = now;
        }

        /** It is proved that it never ran. */
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
     * @param capacity how many are remembered
     * @param settleTime how long after its last sign an attempt may still take effect, in milliseconds
     * @param records null where nothing outlives this process
     */
    Completions(int capacity, double settleTime, CompletionRecords records) {
        this.capacity = capacity;
        this.settleTime = settleTime;
        this.records = records;
    }

    /** Takes over what earlier incarnations have left. */
    void restore(RecoveredOutcomes recovered, double now) throws IOException, StoreFault {
        records.read((upload, found, epoch, response) -> {
            Completion completion = new Completion(upload);
            completion.outcome = recovered.classify(found, epoch, false);
            completion.response = response;
            completion.unknownSince = now;
            completions.put(upload, completion);
        });
        while (completions.size() > capacity && evict()) {
            // what is left out is requested of the node
        }
    }

    /**
     * The completion of an upload, or null when so many are under way that none can be remembered.
     *
     * @param neverSent whether it is known that none was sent yet
     * @param lastAt when one may have been sent at the latest otherwise
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
