package kelphollow.adapter;

import static kelphollow.adapter.JsonFields.at;
import static kelphollow.adapter.JsonFields.list;
import static kelphollow.adapter.JsonFields.number;
import static kelphollow.adapter.JsonFields.object;
import static kelphollow.adapter.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.Control;
import kelphollow.decision.ControlEvent;
import kelphollow.protocol.json.Json;

/** Passes batches of wire events to instances of the decision module and encodes their actions. Not thread-safe. */
final class Adapter {
    private static final int INITIAL_REPLY_BYTES = 256;

    private final JsonFactory factory = new JsonFactory();
    private final Map<String, Control> instances = new LinkedHashMap<>();
    private final EventReader eventReader = new EventReader();

    /**
     * Handles one batch.
     *
     * @param line the batch as one line of JSON
     * @return the reply as one line of JSON in UTF-8
     */
    byte[] handleBatch(String line) throws MalformedMessageException {
        try {
            Map<?, ?> batch = object(Json.parse(line), "batch");
            double now = number(batch.get(WireNames.TIME), "at_time");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
            try (JsonGenerator out = factory.createGenerator(bytes)) {
                out.writeStartObject();
                out.writeArrayFieldStart(WireNames.INSTANCES);
                for (Object part : list(batch.get(WireNames.INSTANCES), "parts")) {
                    handleInstance(object(part, "parts element"), now).writeTo(out);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            bytes.write('\n');
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new MalformedMessageException("batch is not valid JSON: " + e.getMessage(), e);
        }
    }

    private InstanceReply handleInstance(Map<?, ?> part, double now) throws MalformedMessageException {
        InstanceReply reply = new InstanceReply(text(part.get(WireNames.INSTANCE_ID), "initiator_id"));
        for (Object item : list(part.get(WireNames.EVENTS), "input")) {
            List<?> message = list(item, "input element");
            String kind = text(at(message, 0), "event name");
            switch (kind) {
                case WireNames.ENDPOINT_LIST -> eventReader.storeEndpointList(message);
                case WireNames.STOP_INSTANCE -> {
                    instances.remove(reply.instance());
                    reply.clear();
                }
                case WireNames.START_INSTANCE -> start(message, now, reply);
                default -> deliver(kind, message, now, reply);
            }
        }
        return reply;
    }

    private void start(List<?> message, double now, InstanceReply reply) throws MalformedMessageException {
        long seed = (long) number(at(message, 1), "random_seed");
        Map<?, ?> params = object(at(message, 2), "params");
        try {
            Control control = new Control(SettingsReader.read(params), seed, now);
            instances.put(reply.instance(), control);
            reply.add(control.start());
        } catch (RuntimeException e) {
            reply.failed(WireNames.START_INSTANCE, e);
        }
    }

    /** Passes an event to its instance. After an exception of the module, further events are only checked for form. */
    private void deliver(String kind, List<?> message, double now, InstanceReply reply)
        throws MalformedMessageException {
        Control control = instances.get(reply.instance());
        if (control == null) {
            if (reply.hasFailed()) {
                return;
            }
            throw new MalformedMessageException(kind + " for instance " + reply.instance() + ", which is not running");
        }
        ControlEvent event = eventReader.read(kind, message);
        if (event == null || reply.hasFailed()) {
            return;
        }
        try {
            reply.add(control.on(now, event));
        } catch (RuntimeException e) {
            reply.failed(kind, e);
        }
    }
}
