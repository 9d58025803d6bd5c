package kelphollow.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;

/**
 * Records the actions of a decision module as digests of everything recorded so far. Numbers are recorded with all
 * their bits, so that a rounding difference changes the digest, and enum constants by their ordinal, so that renaming a
 * Java identifier does not.
 */
final class DecisionRecorder {
    /** Number of events between two digests. */
    private static final int EVENTS_PER_CHECKPOINT = 500;
    /** Number of hexadecimal digits recorded of a digest. */
    private static final int DIGEST_LENGTH = 16;

    private final MessageDigest digest;
    private final StringBuilder trace = new StringBuilder();
    private final List<String> checkpoints = new ArrayList<>();
    private int events;

    DecisionRecorder() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records the actions that resulted from one event. */
    void record(double now, String event, List<ControlAction> actions) {
        write("event " + number(now) + " " + event);
        actions.forEach(action -> write("  " + text(action)));
        events++;
        if (events % EVENTS_PER_CHECKPOINT == 0) {
            checkpoint();
        }
    }

    /** Records state of the module that is not part of its actions. */
    void recordState(String state) {
        write("state " + state);
        checkpoint();
    }

    /** One line per checkpoint: the number of events and the digest of everything recorded up to it. */
    List<String> checkpoints() {
        return List.copyOf(checkpoints);
    }

    /** The recording in readable form, to find the first difference between two builds. */
    String trace() {
        return trace.toString();
    }

    int events() {
        return events;
    }

    private void write(String line) {
        trace.append(line).append('\n');
        digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void checkpoint() {
        try {
            byte[] soFar = ((MessageDigest) digest.clone()).digest();
            checkpoints.add(events + " " + HexFormat.of().formatHex(soFar).substring(0, DIGEST_LENGTH));
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String text(ControlAction action) {
        if (action instanceof SendAttempt send) {
            return "send " + send.id() + " " + send.node() + " " + number(send.timeout()) + " " + number(send.writeBy());
        }
        if (action instanceof RejectRequest reject) {
            return "reject " + reject.id() + " " + number(reject.retryAfter()) + " " + reject.reason().ordinal();
        }
        if (action instanceof FailRequest fail) {
            return "fail " + fail.id() + " " + fail.reason().ordinal();
        }
        if (action instanceof CancelAttempt cancel) {
            return "cancel " + cancel.id() + " " + cancel.attempt();
        }
        if (action instanceof SetTimer timer) {
            return "timer " + number(timer.at()) + " " + timer.name();
        }
        if (action instanceof PollEndpoints) {
            return "poll";
        }
        throw new IllegalArgumentException("unknown action " + action);
    }

    /** The value in decimal and all its bits in hexadecimal. */
    static String number(double value) {
        return value + "/" + Long.toHexString(Double.doubleToLongBits(value));
    }
}
