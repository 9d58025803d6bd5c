package kelphollow.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;

/** Writes each action as a wire message: an array of the message name and its values. */
final class ActionWriter implements ControlAction.Handler<IOException> {
    private final JsonGenerator out;

    ActionWriter(JsonGenerator out) {
        this.out = out;
    }

    @Override public void sendAttempt(SendAttempt action) throws IOException {
        begin(WireNames.SEND_ATTEMPT);
        out.writeString(action.id());
        out.writeString(action.node());
        if (action.timeout() > 0) {
            out.writeNumber(action.timeout());
        }
        out.writeEndArray();
    }

    @Override public void setTimer(SetTimer action) throws IOException {
        begin(WireNames.SET_TIMER);
        out.writeNumber(action.at());
        out.writeString(action.name());
        out.writeEndArray();
    }

    @Override public void rejectRequest(RejectRequest action) throws IOException {
        begin(WireNames.REJECT_REQUEST);
        out.writeString(action.id());
        out.writeNumber(action.retryAfter());
        out.writeEndArray();
    }

    @Override public void failRequest(FailRequest action) throws IOException {
        begin(WireNames.FAIL_REQUEST);
        out.writeString(action.id());
        out.writeEndArray();
    }

    @Override public void cancelAttempt(CancelAttempt action) throws IOException {
        begin(WireNames.CANCEL_ATTEMPT);
        out.writeString(action.id());
        out.writeNumber(action.attempt());
        out.writeEndArray();
    }

    @Override public void pollEndpoints(PollEndpoints action) throws IOException {
        begin(WireNames.POLL_ENDPOINTS);
        out.writeBoolean(true);
        out.writeEndArray();
    }

    /** Writes a message that reports an exception of the decision module. */
    void internalError(String error) throws IOException {
        begin(WireNames.INTERNAL_ERROR);
        out.writeString(error);
        out.writeEndArray();
    }

    private void begin(String name) throws IOException {
        out.writeStartArray();
        out.writeString(name);
    }
}
