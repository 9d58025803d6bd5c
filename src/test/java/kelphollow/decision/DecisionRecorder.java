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
 * Reduces the actions of a decision module to a chain of digests. Numbers enter by all their bits, enum constants by
 * their position, so that neither a rounding difference nor the renaming of a Java identifier goes unnoticed or is
 * mistaken for the other.
 */
final class DecisionRecorder {
    /** Events between two digests of the recording. */
    private static final int EVENTS_PER_CHECKPOINT = 500;
    /** Hexadecimal digits of a digest that are kept. */
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

    /** Adds the actions that the module answered to one event. */
    void record(double now, String event, List<ControlAction> actions) {
        write("event " + number(now) + " " + event);
        actions.forEach(action -> write("  " + text(action)));
        events++;
        if (events % EVENTS_PER_CHECKPOINT == 0) {
            checkpoint();
        }
    }

    /** Adds state that the module shows outside its actions. */
    void recordState(String state) {
        write("state " + state);
        checkpoint();
    }

    /** One line for each checkpoint: events so far and the digest of all up to there. */
    List<String> checkpoints() {
        return List.copyOf(checkpoints);
    }

    /** All that was recorded in readable form, to find the first difference between two builds. */
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

    /** The value for readers and all its bits. */
    static String number(double value) {
        return value + "/" + Long.toHexString(Double.doubleToLongBits(value));
    }
}
