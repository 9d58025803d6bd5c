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
 * A client's request on the platform's wire: {@code OBJ.GET} or {@code OBJ.PUT} with its fields.
 *
 * @param name the command's name in capitals
 * @param objectKey the object that it is for
 * @param id tells it from other open requests; nodes see it
 * @param fields the fields of its fourth argument in their order, see {@link RespWords}
 * @param body what is written, or null for a command without a body
 */
record RespCommand(String name, byte[] objectKey, byte[] id, Map<String, String> fields, byte[] body) {
    private static final int ARGUMENTS = 4;
    private static final int ARGUMENTS_WITH_BODY = 5;
    private static final double MAX_TIME_LEFT_MS = 3_600_000;
    private static final double MAX_UNITS = 1_000_000;
    private static final double MAX_INSTANCES = 1_000_000;
    private static final int NEW_OBJECT = -1;
    private static final Pattern WORD = Pattern.compile("[!-~]{1,128}");
    // Java's own reading takes "1d", "NaN" and more for numbers, which nodes do not.
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,12}(\\.\\d{1,9})?");

    /** The id as text, by which two are told apart. */
    String idText() {
        return ascii(id);
    }

    private static String ascii(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads a command, whose messages stay the caller's; all of it is checked, its fields included. */
    static RespCommand read(List<RedisMessage> words) throws MalformedCommandException {
        String name = RespCodec.text(words.get(0)).toUpperCase(Locale.ROOT);
        int expected = name.equals(RespWords.PUT) ? ARGUMENTS_WITH_BODY : ARGUMENTS;
        if (words.size() != expected) {
            throw new MalformedCommandException("wrong number of arguments for '" + name + "'");
        }
        List<byte[]> arguments = new ArrayList<>();
        for (RedisMessage word : words) {
            byte[] bytes = RespCodec.bytes(word);
            if (bytes == null) {
                throw new MalformedCommandException("arguments must be bulk strings");
            }
            arguments.add(bytes);
        }
        Map<String, String> fields = fields(RespCodec.text(words.get(3)));
        if (!WORD.matcher(ascii(arguments.get(1))).matches() || !WORD.matcher(ascii(arguments.get(2))).matches()) {
            throw new MalformedCommandException("the piece or the id is missing or no word");
        }
        RespCommand command = new RespCommand(name, arguments.get(1), arguments.get(2), fields,
            expected == ARGUMENTS_WITH_BODY ? arguments.get(4) : null);
        command.arrival(0);
        return command;
    }

    private static Map<String, String> fields(String text) throws MalformedCommandException {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 1 || fields.put(field.substring(0, equals), field.substring(equals + 1)) != null) {
                throw new MalformedCommandException("'" + field + "' is not a name with its value, given once");
            }
        }
        return fields;
    }

    /** The request as the decision module sees it, if it arrived at {@code now}. */
    RequestArrived arrival(double now) throws MalformedCommandException {
        return new RequestArrived("", word(RespWords.REQUEST_CLASS), word(RespWords.PLAN), ascii(objectKey),
            now + number(RespWords.TIME_LEFT, Double.NaN, 0, MAX_TIME_LEFT_MS), word(RespWords.VOLUME),
            number(RespWords.UNITS, 1, 0, MAX_UNITS),
            (int) number(RespWords.CELL, NEW_OBJECT, NEW_OBJECT, Integer.MAX_VALUE),
            (int) number(RespWords.INSTANCES, 1, 1, MAX_INSTANCES),
            RespWords.MARKED.equals(fields.get(RespWords.RETRY)));
    }

    /**
     * The command for a node that is to know how long it will be waited for; all else passes on unchanged.
     *
     * @param timeLeft in milliseconds, sent as 1 at least
     */
    RedisMessage forNode(double timeLeft) {
        StringBuilder line = new StringBuilder();
        fields.forEach((field, value) -> line.append(line.isEmpty() ? "" : ",").append(field).append('=')
            .append(field.equals(RespWords.TIME_LEFT) ? Long.toString(Math.max(1, (long) timeLeft)) : value));
        List<RedisMessage> words = new ArrayList<>(List.of(RespCodec.bulk(name), RespCodec.bulk(objectKey),
            RespCodec.bulk(id), RespCodec.bulk(line.toString())));
        if (body != null) {
            words.add(RespCodec.bulk(body));
        }
        return RespCodec.array(words);
    }

    /** The value of a field that must be there. */
    String word(String field) throws MalformedCommandException {
        String value = fields.get(field);
        if (value == null || value.isEmpty()) {
            throw new MalformedCommandException("'" + field + "' is missing");
        }
        return value;
    }

    private double number(String field, double absent, double least, double most) throws MalformedCommandException {
        String value = fields.get(field);
        if (value == null || NUMBER.matcher(value).matches()) {
            double number = value == null ? absent : Double.parseDouble(value);
            if (number >= least && number <= most) {
                return number;
            }
        }
        throw new MalformedCommandException("'" + field + "' must be a number from " + (long) least + " to " + (long) most);
    }
}
