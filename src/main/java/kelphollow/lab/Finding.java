package kelphollow.lab;

import java.util.List;

/** A violation: the check that found it, its description, and the lines of the history that prove it. */
record Finding(String check, String description, List<HistoryLine> evidence) {
    /** Creates a finding with one line as evidence. */
    static Finding of(String check, String description, HistoryLine line) {
        return new Finding(check, description, List.of(line));
    }
}
