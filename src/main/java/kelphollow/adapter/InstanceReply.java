package kelphollow.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlAction;

/** Reply of one instance to its events of a batch: its actions, and the exception of the module that ended them, if any. */
final class InstanceReply {
    private final String instance;
    private final List<ControlAction> actions = new ArrayList<>();
    /** Description of the exception, or null. */
    private String error;

    InstanceReply(String instance) {
        this.instance = instance;
    }

    String instance() {
        return instance;
    }

    void add(List<ControlAction> more) {
        actions.addAll(more);
    }

    /** Records that the module threw an exception on a kind of event. */
    void failed(String kind, RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        error = instance + " " + kind + ": " + e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    boolean hasFailed() {
        return error != null;
    }

    /** Discards the reply so far, because the instance was stopped. */
    void clear() {
        actions.clear();
        error = null;
    }

    /** Writes the reply; writes nothing if it has neither actions nor an exception. */
    void writeTo(JsonGenerator out) throws IOException {
        if (actions.isEmpty() && error == null) {
            return;
        }
        ActionWriter writer = new ActionWriter(out);
        out.writeStartObject();
        out.writeStringField(WireNames.INSTANCE_ID, instance);
        out.writeArrayFieldStart(WireNames.ACTIONS);
        for (ControlAction action : actions) {
            action.accept(writer);
        }
        if (error != null) {
            writer.internalError(error);
        }
        out.writeEndArray();
        out.writeEndObject();
    }
}
