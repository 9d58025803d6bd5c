package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import kelphollow.decision.ControlEvent.RequestArrived;

/** A client's request on the platform's wire: {@code OBJ.GET} or {@code OBJ.PUT} with its names and values. */
record RespCommand(String name, byte[] piece, byte[] id, Map<String, String> values, byte[] body) {
    private static final double LONGEST_WAIT = 3_600_000;
    private static final double MOST_UNITS = 1_000_000;
    private static final Pattern NAME = Pattern.compile("[!-~]{1,128}");
    // Java's own reading takes "1d", "NaN" and more for numbers, which nodes do not.
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,12}(\\.\\d{1,9})?");

    /** A request in a form that this protocol does not know; the message goes to the client. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** The id as text, by which two are told apart. */
    String idText() {
        return ascii(id);
    }

    private static String ascii(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static RespCommand read(List<RedisMessage> words) throws Malformed {
        String name = Resp.text(words.get(0)).toUpperCase(java.util.Locale.ROOT);
        int expected = name.equals("OBJ.PUT") ? 5 : 4;
        if (words.size() != expected) {
            throw new Malformed("wrong number of arguments for '" + name + "'");
        }
        List<byte[]> parts = new ArrayList<>();
        for (RedisMessage word : words) {
            byte[] bytes = Resp.bytes(word);
            if (bytes == null) {
                throw new Malformed("arguments must be bulk strings");
            }
            parts.add(bytes);
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : Resp.text(words.get(3)).split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 1 || values.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
                throw new Malformed("'" + pair + "' is not a name with its value, given once");
            }
        }
        if (!NAME.matcher(ascii(parts.get(1))).matches() || !NAME.matcher(ascii(parts.get(2))).matches()) {
            throw new Malformed("the piece or the id is missing or no word");
        }
        RespCommand command = new RespCommand(name, parts.get(1), parts.get(2), values,
            expected == 5 ? parts.get(4) : null);
        command.arrival(0);
        return command;
    }

    /** What the module is told, for a request that came at {@code now}. */
    RequestArrived arrival(double now) throws Malformed {
        return new RequestArrived("", word("c"), word("t"), ascii(piece),
            now + number("d", Double.NaN, 0, LONGEST_WAIT), word("volume"), number("units", 1, 0, MOST_UNITS),
            (int) number("shard", -1, -1, Integer.MAX_VALUE), (int) number("hosts", 1, 1, 1_000_000),
            "1".equals(values.get("r")));
    }

    /** The command for a node that is to know how long it will be waited for; all else passes on unchanged. */
    RedisMessage forNode(double wait) {
        StringBuilder line = new StringBuilder();
        values.forEach((k, v) -> line.append(line.isEmpty() ? "" : ",").append(k).append('=')
            .append(k.equals("d") ? Long.toString(Math.max(1, (long) wait)) : v));
        List<RedisMessage> words = new ArrayList<>(List.of(Resp.bulk(name), Resp.bulk(piece), Resp.bulk(id),
            Resp.bulk(line.toString())));
        if (body != null) {
            words.add(Resp.bulk(body));
        }
        return Resp.array(words);
    }

    /** The value of a name that must be there. */
    String word(String key) throws Malformed {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            throw new Malformed("'" + key + "' is missing");
        }
        return value;
    }

    private double number(String key, double absent, double least, double most) throws Malformed {
        String value = values.get(key);
        if (value == null || NUMBER.matcher(value).matches()) {
            double number = value == null ? absent : Double.parseDouble(value);
            if (number >= least && number <= most) {
                return number;
            }
        }
        throw new Malformed("'" + key + "' must be a number from " + (long) least + " to " + (long) most);
    }
}
