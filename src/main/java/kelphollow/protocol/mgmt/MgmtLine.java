package kelphollow.protocol.mgmt;

import java.nio.charset.StandardCharsets;
import kelphollow.maintenance.MaintenanceSet;

/** One line of the management protocol, read strictly: a verb, its arguments, printable ASCII only. */
public sealed interface MgmtLine {
    /** Longest line, in bytes without its end; a longer one is answered {@code NAK} and the connection closed. */
    int LONGEST = 256;

    /** What a call asks for. */
    enum Verb { STATUS, MAINT_ON, MAINT_OFF, FLEET_STATUS }

    /** A call that can be carried out. {@code node} is null where none is named. */
    record Call(Verb verb, String node) implements MgmtLine {}

    /** A line that is no call; {@code reason} goes behind {@code NAK}. */
    record Bad(String reason) implements MgmtLine {}

    /** Reads one line, its end already taken off. */
    static MgmtLine parse(byte[] line) {
        for (byte b : line) {
            if (b < 0x20 || b > 0x7e) {
                return new Bad("the line holds bytes that are not printable text");
            }
        }
        String text = new String(line, StandardCharsets.US_ASCII).strip();
        if (text.isEmpty()) {
            return new Bad("empty line");
        }
        String[] words = text.split(" +");
        return switch (words[0]) {
            case "status" -> words.length == 1 ? new Call(Verb.STATUS, null) : new Bad("status takes no argument");
            case "fleet" -> words.length == 2 && words[1].equals("status") ? new Call(Verb.FLEET_STATUS, null)
                : new Bad("fleet takes one word: status");
            case "maint-on" -> node(Verb.MAINT_ON, words);
            case "maint-off" -> node(Verb.MAINT_OFF, words);
            default -> new Bad("unknown call '" + shortened(words[0])
                + "'; known: status, maint-on ID, maint-off ID, fleet status");
        };
    }

    private static MgmtLine node(Verb verb, String[] words) {
        String name = verb == Verb.MAINT_ON ? "maint-on" : "maint-off";
        if (words.length != 2) {
            return new Bad(name + " takes one storage node's id");
        }
        return MaintenanceSet.isValidId(words[1]) ? new Call(verb, words[1]) : new Bad("'" + shortened(words[1])
            + "' is no id");
    }

    private static String shortened(String word) {
        return word.length() <= 32 ? word : word.substring(0, 32) + "...";
    }
}
