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

/** Parses a storage node's reply: the value, the volume's usage as the node reports it, and the node's load report. */
final class NodeReply {
    /** Elements of a reply's array: the value, the volume's usage and the load report. */
    static final int ELEMENTS = 3;

    private static final Logger LOG = Logger.getLogger(NodeReply.class.getName());
    private static final Pattern NUMBER_FIELD = Pattern.compile("([a-z]+)=(\\d{1,9}(?:\\.\\d{1,9})?)");
    private static final double NOT_REPORTED = -1;

    private NodeReply() {}

    /**
     * Returns the result in a reply, or null if the reply is malformed. The caller keeps ownership of the message.
     *
     * @param valueStreamed whether the value was streamed ahead of the message, which then does not contain it
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
        boolean busy = words[0].equals(RespWireNames.BUSY);
        if (!busy && !words[0].equals(RespWireNames.ERROR)) {
            LOG.fine(() -> "node replied with unknown error prefix: " + error.content());
            return null;
        }
        Map<String, Double> numbers = new HashMap<>();
        for (String word : words) {
            readNumbers(word, numbers);
        }
        return result(busy ? AttemptOutcome.AT_CAPACITY : AttemptOutcome.ERROR, null, numbers);
    }

    /**
     * Parses fields such as {@code used=37,cost=4}. Fields that are not numbers are ignored, so that a request that was
     * served does not fail because the node's report about itself is malformed.
     */
    private static void readNumbers(String text, Map<String, Double> numbers) {
        for (String field : text.split(",")) {
            Matcher matcher = NUMBER_FIELD.matcher(field);
            if (matcher.matches()) {
                numbers.put(matcher.group(1), Double.parseDouble(matcher.group(2)));
            }
        }
    }

    private static AttemptResult result(AttemptOutcome outcome, byte[] value, Map<String, Double> numbers) {
        Double inFlight = numbers.get(RespWireNames.IN_FLIGHT);
        return new AttemptResult(outcome, value, false, numbers.getOrDefault(RespWireNames.UNITS_ELSEWHERE, 0.0),
            numbers.getOrDefault(RespWireNames.USAGE_PERCENT, NOT_REPORTED),
            inFlight == null ? Map.of() : Map.of(RespWireNames.REPORTED_IN_FLIGHT, inFlight));
    }
}
