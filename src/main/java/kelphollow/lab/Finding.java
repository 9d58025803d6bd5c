package kelphollow.lab;

import java.util.List;

/** One breach: the check that found it, what it is, and the lines of the history that prove it. */
record Finding(String check, String what, List<HistoryLine> proof) {
    /** A breach that one line proves. */
    static Finding of(String check, String what, HistoryLine line) {
        return new Finding(check, what, List.of(line));
    }
}
