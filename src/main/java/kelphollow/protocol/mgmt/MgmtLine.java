package kelphollow.protocol.mgmt;

import java.nio.charset.StandardCharsets;
import kelphollow.maintenance.MaintenanceSet;

/** One line of the management protocol, read strictly: a verb, its arguments, printable ASCII only. */
public sealed interface MgmtLine {
    /** Longest line, in bytes without its end; a longer one is answered {@code NAK} and the connection closed. */
    int MAX_LENGTH = 256;

    /** What a call asks for, with its word on the line. */
    enum Verb {
        /** Whether the instance is ready. */
        STATUS("status"),
        /** Takes a node into maintenance: nothing is sent to it. */
        MAINTENANCE_ON("maint-on"),
        /** Ends the maintenance of a node. */
        MAINTENANCE_OFF("maint-off"),
        /** How the instance sees the fleet; {@code status} is the only argument. */
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

    /** A call that can be carried out. {@code node} is null where none is named. */
    record Command(Verb verb, String node) implements MgmtLine {}

    /** A line that is no call; {@code reason} goes behind {@code NAK}. */
    record Invalid(String reason) implements MgmtLine {}

    /** Reads one line, its end already taken off. */
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
            return new Invalid("unknown call '" + shortened(words[0])
                + "'; known: status, maint-on ID, maint-off ID, fleet status");
        }
        return switch (verb) {
            case STATUS -> words.length == 1 ? new Command(verb, null) : new Invalid("status takes no argument");
            case FLEET_STATUS -> words.length == 2 && words[1].equals(Verb.STATUS.word) ? new Command(verb, null)
                : new Invalid("fleet takes one word: status");
            case MAINTENANCE_ON, MAINTENANCE_OFF -> maintenance(verb, words);
        };
    }

    private static MgmtLine maintenance(Verb verb, String[] words) {
        if (words.length != 2) {
            return new Invalid(verb.word + " takes one storage node's id");
        }
        return MaintenanceSet.isValidId(words[1]) ? new Command(verb, words[1])
            : new Invalid("'" + shortened(words[1]) + "' is no id");
    }

    private static String shortened(String word) {
        return word.length() <= 32 ? word : word.substring(0, 32) + "...";
    }
}
