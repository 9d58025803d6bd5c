package kelphollow.protocol.resp;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.routing.AttemptResult;

/** Reads a storage node's reply: a value, what the node reports of the volume's use, and its load report. */
final class NodeReply {
    /** Elements of the array of a reply: the value, the use of the volume and the load report. */
    static final int ELEMENTS = 3;

    private static final Logger LOG = Logger.getLogger(NodeReply.class.getName());
    private static final Pattern NUMBER_FIELD = Pattern.compile("([a-z]+)=(\\d{1,9}(?:\\.\\d{1,9})?)");
    private static final double NOT_REPORTED = -1;

    private NodeReply() {}

    /**
     * The result that a reply tells, or null if it cannot be read. The message stays the caller's.
     *
     * @param valueStreamed whether the value has gone ahead of the message
     */
    static AttemptResult read(RedisMessage message, boolean valueStreamed) {
        if (message instanceof ErrorRedisMessage error) {
            return readError(error);
        }
        int expected = valueStreamed ? ELEMENTS - 1 : ELEMENTS;
        if (!(message instanceof ArrayRedisMessage array) || array.isNull() || array.children().size() != expected) {
            return null;
        }
        List<RedisMessage> elements = array.children();
        byte[] value = valueStreamed ? null : RespCodec.bytes(elements.get(0));
        if (!valueStreamed && value == null) {
            return null;
        }
        Map<String, Double> numbers = new HashMap<>();
        for (RedisMessage element : elements.subList(valueStreamed ? 0 : 1, elements.size())) {
            String text = RespCodec.text(element);
            if (text != null) {
                readNumbers(text, numbers);
            }
        }
        return result(AttemptOutcome.SERVED, value, numbers);
    }

    private static AttemptResult readError(ErrorRedisMessage error) {
        String[] words = error.content().split(" ");
        boolean busy = words[0].equals(RespWords.BUSY);
        if (!busy && !words[0].equals(RespWords.ERROR)) {
            LOG.fine(() -> "a node replied -" + error.content());
            return null;
        }
        Map<String, Double> numbers = new HashMap<>();
        for (String word : words) {
            readNumbers(word, numbers);
        }
        return result(busy ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.ERROR, null, numbers);
    }

    /**
     * Reads {@code used=37,cost=4}. What is no number is ignored: guards against failing a request that was served well
     * because a node reports nonsense about itself.
     */
    private static void readNumbers(String text, Map<String, Double> into) {
        for (String field : text.split(",")) {
            Matcher number = NUMBER_FIELD.matcher(field);
            if (number.matches()) {
                into.put(number.group(1), Double.parseDouble(number.group(2)));
            }
        }
    }

    private static AttemptResult result(AttemptOutcome outcome, byte[] value, Map<String, Double> numbers) {
        Double inFlight = numbers.get(RespWords.IN_FLIGHT);
        return new AttemptResult(outcome, value, false, numbers.getOrDefault(RespWords.UNITS_ELSEWHERE, 0.0),
            numbers.getOrDefault(RespWords.USAGE_PERCENT, NOT_REPORTED),
            inFlight == null ? Map.of() : Map.of(RespWords.REPORTED_IN_FLIGHT, inFlight));
    }
}
