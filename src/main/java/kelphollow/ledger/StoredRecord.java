package kelphollow.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The fields of a record as they were read. Immutable if the map is not changed. */
record StoredRecord(Map<?, ?> fields) {
    static final StoredRecord EMPTY = new StoredRecord(Map.of());

    /** A number, 0 if there is none. */
    double number(String name) {
        return fields.get(name) instanceof Double number ? number : 0;
    }

    /** A whole number, 0 if there is none. */
    long integer(String name) {
        return (long) number(name);
    }

    /** A text, null if there is none. */
    String text(String name) {
        return fields.get(name) instanceof String text ? text : null;
    }

    /** A list of records, empty if there is none. */
    List<StoredRecord> records(String name) {
        List<StoredRecord> records = new ArrayList<>();
        if (fields.get(name) instanceof List<?> entries) {
            for (Object entry : entries) {
                if (entry instanceof Map<?, ?> map) {
                    records.add(new StoredRecord(map));
                }
            }
        }
        return records;
    }
}
