package kelphollow.store;

import java.util.ArrayList;
import java.util.List;

/** The findings of an opening, an inspection or a scrub, in order. Confined to the thread that adds them. */
public final class IntegrityReport {
    /** Value of an {@code offset} or {@code sequence} that does not apply to a finding. */
    static final long NOT_APPLICABLE = -1;

    /** Kind of a finding; {@code toString} returns the word that logs and the operator's commands print. */
    public enum Kind {
        /** A new store was created. */
        CREATED("created"),
        /** A file was restored from its other copy. */
        REPAIRED("repaired"),
        /** The copies differ; an opening would repair them. */
        DIFFERS("differs"),
        /** The end of a segment was truncated: its write was interrupted and never acknowledged as durable. */
        TRUNCATED("torn"),
        /** An acknowledged record is damaged in both copies. */
        DAMAGED("damaged");

        private final String printed;

        Kind(String printed) {
            this.printed = printed;
        }

        @Override public String toString() {
            return printed;
        }
    }

    /**
     * One finding.
     *
     * @param file path of the file, with its folder
     * @param offset in bytes, negative if it does not apply
     * @param sequence of the record, negative if it does not apply
     */
    public record Finding(Kind kind, String file, long offset, long sequence, String detail) {
        /** The line for logs and operators' scripts: {@code KIND FILE [offset=N] [sequence=N] [DETAIL]}. */
        @Override public String toString() {
            return kind + " " + file + (offset < 0 ? "" : " offset=" + offset)
                + (sequence < 0 ? "" : " sequence=" + sequence) + (detail.isEmpty() ? "" : " " + detail);
        }
    }

    private final List<Finding> findings = new ArrayList<>();
    private int repairedFiles;

    void add(Kind kind, String file, long offset, long sequence, String detail) {
        findings.add(new Finding(kind, file, offset, sequence, detail));
    }

    void add(Kind kind, String file, String detail) {
        add(kind, file, NOT_APPLICABLE, NOT_APPLICABLE, detail);
    }

    void addRepaired(String file, String detail) {
        repairedFiles++;
        add(Kind.REPAIRED, file, detail);
    }

    /** All findings so far; a copy. */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /** Number of files that were restored from their other copy. */
    public int repairedFiles() {
        return repairedFiles;
    }

    /** Whether acknowledged data is lost. */
    public boolean isDamaged() {
        return contains(Kind.DAMAGED);
    }

    /** Whether there is a finding of this kind. */
    public boolean contains(Kind kind) {
        return findings.stream().anyMatch(f -> f.kind == kind);
    }

    String firstDamage() {
        return findings.stream().filter(f -> f.kind == Kind.DAMAGED).findFirst().map(Finding::toString).orElse("");
    }
}
