package kelphollow.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the actions that result from the current event, in order. Confined to the thread that drives
 * {@link Control}.
 */
final class ActionBuffer {
    private List<ControlAction> actions = new ArrayList<>();

    void add(ControlAction action) {
        actions.add(action);
    }

    /** Returns the actions added since the last call and empties the buffer. */
    List<ControlAction> drain() {
        List<ControlAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }
}
