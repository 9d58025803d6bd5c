package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import kelphollow.decision.ControlEvent.RequestArrived;

/**
 * A client's {@code OBJ.GET} or {@code OBJ.PUT} command.
 *
 * @param name the command's name in upper case
 * @param objectKey the key of the object
 * @param id unique among open requests; forwarded to nodes
 * @param fields the fields of the fourth argument in their order, see {@link RespWireNames}
 * @param body the data to write, or null for a command without a body
 */
record RespCommand(String name, byte[] objectKey, byte[] id, Map<String, String> fields, byte[] body) {
    private static final int ARGUMENTS = 4;
    private static final int ARGUMENTS_WITH_BODY = 5;
    /** A field occupies many times its length. The protocol names ten. */
    private static final int MAX_FIELDS = 64;
    private static final double MAX_TIME_LEFT_MS = 3_600_000;
    private static final double MAX_UNITS = 1_000_000;
    private static final double MAX_INSTANCES = 1_000_000;
    private static final int NEW_OBJECT = -1;
    private static final int MAX_TOKEN_LENGTH = 128;
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1," + MAX_TOKEN_LENGTH + "}");
    // Stricter than Double.parseDouble, which accepts "1d", "NaN" and other forms that nodes reject.
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,12}(\\.\\d{1,9})?");

    /** Returns the id as text, for comparison with other ids. */
    String idText() {
        return ascii(id);
    }

    private static String ascii(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Parses and validates a command and its fields. The caller keeps ownership of the messages. */
    static RespCommand read(List<RedisMessage> elements) throws MalformedCommandException {
        String name = RespCodec.text(elements.get(0)).toUpperCase(Locale.ROOT);
        int expected = name.equals(RespWireNames.PUT) ? ARGUMENTS_WITH_BODY : ARGUMENTS;
        if (elements.size() != expected) {
            throw new MalformedCommandException("wrong number of arguments for '" + name + "'");
        }
        List<byte[]> arguments = new ArrayList<>();
        for (RedisMessage element : elements) {
            byte[] bytes = RespCodec.bytes(element);
            if (bytes == null) {
                throw new MalformedCommandException("arguments must be bulk strings");
            }
            arguments.add(bytes);
        }
        Map<String, String> fields = fields(RespCodec.text(elements.get(3)));
        if (!TOKEN.matcher(ascii(arguments.get(1))).matches() || !TOKEN.matcher(ascii(arguments.get(2))).matches()) {
            throw new MalformedCommandException("the piece or the id is missing or no word");
        }
        RespCommand command = new RespCommand(name, arguments.get(1), arguments.get(2), fields,
            expected == ARGUMENTS_WITH_BODY ? arguments.get(4) : null);
        command.arrival(0);
        return command;
    }

    private static Map<String, String> fields(String text) throws MalformedCommandException {
        Map<String, String> fields = new LinkedHashMap<>();
        if (text.chars().filter(character -> character == ',').count() >= MAX_FIELDS) {
            throw new MalformedCommandException("more than " + MAX_FIELDS + " fields");
        }
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 1 || fields.put(field.substring(0, equals), field.substring(equals + 1)) != null) {
                throw new MalformedCommandException("'" + field + "' is not a name with its value, given once");
            }
        }
        return fields;
    }

    /** Returns the request for the decision module, with {@code now} as its arrival time. */
    RequestArrived arrival(double now) throws MalformedCommandException {
        return new RequestArrived(idText(), required(RespWireNames.REQUEST_CLASS), required(RespWireNames.PLAN), ascii(
            objectKey),
            now + number(RespWireNames.TIME_LEFT, Double.NaN, 0, MAX_TIME_LEFT_MS), word(RespWireNames.VOLUME),
            number(RespWireNames.UNITS, 1, 0, MAX_UNITS),
            (int) number(RespWireNames.CELL, NEW_OBJECT, NEW_OBJECT, Integer.MAX_VALUE),
            (int) number(RespWireNames.INSTANCES, 1, 1, MAX_INSTANCES),
            RespWireNames.RETRY_MARK.equals(fields.get(RespWireNames.RETRY)));
    }

    /**
     * Returns the command to forward to a node: unchanged but for the time left until the deadline.
     *
     * @param timeLeft milliseconds until the attempt's deadline; sent as at least 1
     */
    RedisMessage forNode(double timeLeft) {
        StringBuilder line = new StringBuilder();
        fields.forEach((field, value) -> line.append(line.isEmpty() ? "" : ",").append(field).append('=')
            .append(field.equals(RespWireNames.TIME_LEFT) ? Long.toString(Math.max(1, (long) timeLeft)) : value));
        List<RedisMessage> elements = new ArrayList<>(List.of(RespCodec.bulk(name), RespCodec.bulk(objectKey),
            RespCodec.bulk(id), RespCodec.bulk(line.toString())));
        if (body != null) {
            elements.add(RespCodec.bulk(body));
        }
        return RespCodec.array(elements);
    }

    /** Returns the value of a required field. */
    String required(String field) throws MalformedCommandException {
        String value = fields.get(field);
        if (value == null || value.isEmpty()) {
            throw new MalformedCommandException("'" + field + "' is missing");
        }
        return value;
    }

    /** Returns the value of a required field that is kept beyond the request and written to files. */
    private String word(String field) throws MalformedCommandException {
        String value = required(field);
        if (!TOKEN.matcher(value).matches()) {
            throw new MalformedCommandException("'" + field + "' is no word of up to " + MAX_TOKEN_LENGTH + " characters");
        }
        return value;
    }

    private double number(String field, double defaultValue, double min, double max) throws MalformedCommandException {
        String value = fields.get(field);
        if (value == null || NUMBER.matcher(value).matches()) {
            double number = value == null ? defaultValue : Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        }
        throw new MalformedCommandException("'" + field + "' must be a number from " + (long) min + " to " + (long) max);
    }
}
