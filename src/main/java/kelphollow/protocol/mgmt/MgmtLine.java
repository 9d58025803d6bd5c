package kelphollow.protocol.mgmt;

import java.nio.charset.StandardCharsets;
import kelphollow.maintenance.MaintenanceSet;

/** One parsed line of the management protocol: a verb and its arguments, in printable ASCII only. */
public sealed interface MgmtLine {
    /** Longest line in bytes, without its terminator; a longer one is answered with {@code NAK}. */
    int MAX_LENGTH = 256;

    /** The command, with the word that stands for it on the wire. */
    enum Verb {
        /** Reports whether the instance is ready. */
        STATUS("status"),
        /** Starts the maintenance of a node: nothing is sent to it. */
        MAINTENANCE_ON("maint-on"),
        /** Ends the maintenance of a node. */
        MAINTENANCE_OFF("maint-off"),
        /** Reports the fleet as this instance sees it; {@code status} is the only argument. */
        FLEET_STATUS("fleet");

        private final String word;

        Verb(String word) {
            this.word = word;
        }

        private static Verb of(String word) {
            for (Verb verb : values()) {
                if (verb.word.equals(word)) {
                    return verb;
                }
            }
            return null;
        }
    }

    /** A valid command; {@code node} is null for verbs without a node argument. */
    record Command(Verb verb, String node) implements MgmtLine {}

    /** A line that is not a valid command; {@code reason} follows {@code NAK} in the answer. */
    record Invalid(String reason) implements MgmtLine {}

    /** Parses one line without its terminator. */
    static MgmtLine parse(byte[] line) {
        for (byte character : line) {
            if (character < ' ' || character > '~') {
                return new Invalid("the line holds bytes that are not printable text");
            }
        }
        String text = new String(line, StandardCharsets.US_ASCII).strip();
        if (text.isEmpty()) {
            return new Invalid("empty line");
        }
        String[] words = text.split(" +");
        Verb verb = Verb.of(words[0]);
        if (verb == null) {
            return new Invalid("unknown call '" + truncated(words[0])
                + "'; known: status, maint-on ID, maint-off ID, fleet status");
        }
        return switch (verb) {
            case STATUS -> words.length == 1 ? new Command(verb, null) : new Invalid("status takes no argument");
            case FLEET_STATUS -> words.length == 2 && words[1].equals(Verb.STATUS.word) ? new Command(verb, null)
                : new Invalid("fleet takes one word: status");
            case MAINTENANCE_ON, MAINTENANCE_OFF -> parseMaintenance(verb, words);
        };
    }

    private static MgmtLine parseMaintenance(Verb verb, String[] words) {
        if (words.length != 2) {
            return new Invalid(verb.word + " takes one storage node's id");
        }
        return MaintenanceSet.isValidId(words[1]) ? new Command(verb, words[1])
            : new Invalid("'" + truncated(words[1]) + "' is no id");
    }

    private static String truncated(String word) {
        return word.length() <= 32 ? word : word.substring(0, 32) + "...";
    }
}
