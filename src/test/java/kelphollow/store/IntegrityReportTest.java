package kelphollow.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the printed form of findings, which operators' scripts parse. */
class IntegrityReportTest {
    private final IntegrityReport report = new IntegrityReport();

    @Test void eachKindHasItsDocumentedPrintedWord() {
        assertEquals(List.of("created", "repaired", "differs", "torn", "damaged"),
            Arrays.stream(IntegrityReport.Kind.values()).map(IntegrityReport.Kind::toString).toList());
    }

    @Test void aFindingIsPrintedWithOffsetAndSequence() {
        report.add(IntegrityReport.Kind.TRUNCATED, "a/1.seg", 64, 7, "3 bytes");
        assertEquals("torn a/1.seg offset=64 sequence=7 3 bytes", report.findings().get(0).toString());
    }

    @Test void anInapplicableOffsetOrSequenceIsNotPrinted() {
        report.add(IntegrityReport.Kind.CREATED, "a", "");
        assertEquals("created a", report.findings().get(0).toString());
    }

    @Test void onlyRepairsCountAsRepairedFiles() {
        report.addRepaired("a/1.seg", "from b");
        report.add(IntegrityReport.Kind.DIFFERS, "b/1.seg", "an opening repairs it");

        assertEquals(1, report.repairedFiles());
        assertFalse(report.isDamaged());
    }

    @Test void theFirstDamageIsReported() {
        report.add(IntegrityReport.Kind.DAMAGED, "a/1.seg", 64, 7, "first");
        report.add(IntegrityReport.Kind.DAMAGED, "a/2.seg", 64, 9, "second");

        assertTrue(report.isDamaged());
        assertEquals("damaged a/1.seg offset=64 sequence=7 first", report.firstDamage());
    }
}
