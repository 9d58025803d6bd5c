package kelphollow.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * The actions that the event at hand has led to, in order. Confined to the thread that drives
 * {@link Control}.
 */
final class ActionBuffer {
    private List<ControlAction> actions = new ArrayList<>();

    void add(ControlAction action) {
        actions.add(action);
    }

    /** Hands over what was added since the last call. */
    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
