package kelphollow.ledger;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import kelphollow.protocol.json.Json;

/**
 * Encodes and decodes keys and values of the ledger's tables. Keys are UTF-8 text and values are JSON objects, so that
 * {@code store dump} shows them unchanged. Stateless and thread-safe.
 */
final class RecordCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int TYPICAL_BYTES = 128;

    private RecordCodec() {}

    /** Writes the fields of a record, in the order in which they are stored. */
    interface Fields {
        void writeTo(JsonGenerator json) throws IOException;
    }

    static byte[] key(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    static byte[] encode(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_BYTES);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            fields.writeTo(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // cannot happen: the bytes are written to memory
        }
        return bytes.toByteArray();
    }

    /** Writes a text field, or nothing if the text is null. */
    static void writeOptional(JsonGenerator json, String name, String text) throws IOException {
        if (text != null) {
            json.writeStringField(name, text);
        }
    }

    /** Decodes a value. Returns an empty record if it is invalid; only a bug can cause that, since values have checksums. */
    static StoredRecord decode(byte[] value) {
        try {
            return Json.parse(text(value)) instanceof Map<?, ?> fields ? new StoredRecord(fields) : StoredRecord.EMPTY;
        } catch (IOException e) {
            return StoredRecord.EMPTY;
        }
    }
}
