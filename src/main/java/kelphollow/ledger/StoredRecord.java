package kelphollow.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Typed access to the fields of a stored record. Immutable as long as the map is not modified. */
record StoredRecord(Map<?, ?> fields) {
    static final StoredRecord EMPTY = new StoredRecord(Map.of());

    /** Returns a number field, or 0 if there is none. */
    double number(String name) {
        return fields.get(name) instanceof Double number ? number : 0;
    }

    /** Returns a number field as an integer, or 0 if there is none. */
    long integer(String name) {
        return (long) number(name);
    }

    /** Returns a text field, or null if there is none. */
    String text(String name) {
        return fields.get(name) instanceof String text ? text : null;
    }

    /** Returns a field with a list of records, empty if there is none. */
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
