package kelphollow.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import kelphollow.decision.ControlAction;

/** What one instance answers to its events of a batch: actions, and the first exception of the module if there is one. */
final class InstanceReply {
    private final String instance;
    private final List<ControlAction> actions = new ArrayList<>();
    private String fault;

    InstanceReply(String instance) {
        this.instance = instance;
    }

    String instance() {
        return instance;
    }

    void add(List<ControlAction> more) {
        actions.addAll(more);
    }

    /** Notes that the module threw an exception for a kind of event. */
    void failed(String kind, RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        fault = instance + " " + kind + ": " + e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    boolean hasFailed() {
        return fault != null;
    }

    /** The instance was stopped: what it answered before is void. */
    void clear() {
        actions.clear();
        fault = null;
    }

    /** Writes nothing when there is nothing to say. */
    void writeTo(JsonGenerator out) throws IOException {
        if (actions.isEmpty() && fault == null) {
            return;
        }
        ActionWriter writer = new ActionWriter(out);
        out.writeStartObject();
        out.writeStringField(WireNames.INSTANCE_ID, instance);
        out.writeArrayFieldStart(WireNames.ACTIONS);
        for (ControlAction action : actions) {
            action.accept(writer);
        }
        if (fault != null) {
            writer.internalError(fault);
        }
        out.writeEndArray();
        out.writeEndObject();
    }
}
