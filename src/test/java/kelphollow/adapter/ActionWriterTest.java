package kelphollow.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlAction.CancelAttempt;
import kelphollow.decision.ControlAction.FailRequest;
import kelphollow.decision.ControlAction.PollEndpoints;
import kelphollow.decision.ControlAction.Reason;
import kelphollow.decision.ControlAction.RejectRequest;
import kelphollow.decision.ControlAction.SendAttempt;
import kelphollow.decision.ControlAction.SetTimer;
import org.junit.jupiter.api.Test;

/** Encoding of the decision module's actions as wire messages. */
class ActionWriterTest {
    private static String written(ControlAction action) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            action.accept(new ActionWriter(out));
        }
        return text.toString();
    }

    @Test void anAttemptIsWrittenWithItsTimeoutIfThereIsOne() throws IOException {
        assertEquals("[\"SEND\",\"id\",\"n\",12.5]", written(new SendAttempt("id", "n", 12.5, 99)));
        assertEquals("[\"SEND\",\"id\",\"n\"]", written(new SendAttempt("id", "n", 0, 99)));
    }

    @Test void finalAnswersAreWritten() throws IOException {
        assertEquals("[\"DENY\",\"id\",300.0]", written(new RejectRequest("id", 300, Reason.LOAD_SHED)));
        assertEquals("[\"SURRENDER\",\"id\"]", written(new FailRequest("id", Reason.DEADLINE_EXCEEDED)));
    }

    @Test void theOtherActionsAreWritten() throws IOException {
        assertEquals("[\"UNDO_SEND\",\"id\",2]", written(new CancelAttempt("id", 2)));
        assertEquals("[\"SET_TIMER\",10.25,\"wake\"]", written(new SetTimer(10.25, "wake")));
        assertEquals("[\"WATCH\",true]", written(new PollEndpoints()));
    }

    @Test void anInternalErrorIsWritten() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            new ActionWriter(out).internalError("what failed");
        }
        assertEquals("[\"BUG\",\"what failed\"]", text.toString());
    }
}
