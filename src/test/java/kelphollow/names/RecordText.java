package kelphollow.names;

import java.lang.reflect.RecordComponent;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;

/**
 * Formats the values of a record and its nested records, to compare two results of a reader. Omits the names of types and
 * components; formats byte arrays by content.
 */
final class RecordText {
    private RecordText() {}

    static String of(Object value) {
        StringBuilder text = new StringBuilder();
        append(value, text);
        return text.toString();
    }

    private static void append(Object value, StringBuilder text) {
        if (value instanceof Record record) {
            text.append('(');
            for (RecordComponent component : record.getClass().getRecordComponents()) {
                append(get(record, component), text);
                text.append(", ");
            }
            text.append(')');
        } else if (value instanceof Map<?, ?> map) {
            text.append('{');
            map.forEach((key, inner) -> {
                text.append(key).append('=');
                append(inner, text);
                text.append(", ");
            });
            text.append('}');
        } else if (value instanceof Iterable<?> list && !(value instanceof Path)) {
            text.append('[');
            for (Iterator<?> items = list.iterator(); items.hasNext();) {
                append(items.next(), text);
                text.append(", ");
            }
            text.append(']');
        } else {
            text.append(value instanceof byte[] bytes ? Arrays.toString(bytes) : String.valueOf(value));
        }
    }

    private static Object get(Record record, RecordComponent component) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(record);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
