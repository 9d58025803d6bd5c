package kelphollow.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.Control;
import kelphollow.decision.ControlAction;
import kelphollow.decision.ControlEvent;
import kelphollow.protocol.json.Json;

/** Turns wire batches into events of the module and its actions into wire replies. It decides nothing. */
public final class Adapter {
    /** The input breaks the wire's form; the message names the fault. */
    public static final class BadInput extends Exception {
        private static final long serialVersionUID = 1L;

        BadInput(String message) {
            super(message);
        }
    }

    private final JsonFactory factory = new JsonFactory();
    private final Map<String, Control> instances = new LinkedHashMap<>();
    private final Map<Integer, List<ControlEvent.Endpoint>> rosters = new LinkedHashMap<>();

    /** Answers one batch with one line. */
    byte[] answer(String line) throws BadInput {
        try {
            Map<?, ?> batch = object(Json.parse(line), "batch");
            double now = number(batch.get("at_time"), "at_time");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
            try (JsonGenerator out = factory.createGenerator(bytes)) {
                out.writeStartObject();
                out.writeArrayFieldStart("parts");
                for (Object part : list(batch.get("parts"), "parts")) {
                    part(object(part, "part"), now, out);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            bytes.write('\n');
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new BadInput("not JSON: " + e.getMessage());
        }
    }

    private void part(Map<?, ?> part, double now, JsonGenerator out) throws BadInput, IOException {
        String name = text(part.get("initiator_id"), "initiator_id");
        List<ControlAction> actions = new ArrayList<>();
        String fault = null;
        for (Object item : list(part.get("input"), "input")) {
            List<?> message = list(item, "event");
            String kind = text(at(message, 0), "event name");
            if (kind.equals("ROSTER")) {
                rosters.put((int) number(at(message, 1), "page"), roster(message));
                continue;
            }
            if (kind.equals("DOWN")) {
                instances.remove(name);
                actions.clear();
                fault = null;
                continue;
            }
            if (kind.equals("ENLIST")) {
                long seed = (long) number(at(message, 1), "random_seed");
                Map<?, ?> params = object(at(message, 2), "params");
                try {
                    Control control = new Control(SettingsReader.read(params), seed, now);
                    instances.put(name, control);
                    actions.addAll(control.start());
                } catch (RuntimeException e) {
                    fault = fault(name, kind, e);
                }
                continue;
            }
            Control control = instances.get(name);
            if (control == null) {
                if (fault == null) {
                    throw new BadInput(kind + " for unknown instance " + name);
                }
                continue;
            }
            ControlEvent event = event(kind, message);
            if (event == null || fault != null) {
                continue;
            }
            try {
                actions.addAll(control.on(now, event));
            } catch (RuntimeException e) {
                fault = fault(name, kind, e);
            }
        }
        if (actions.isEmpty() && fault == null) {
            return;
        }
        out.writeStartObject();
        out.writeStringField("initiator_id", name);
        out.writeArrayFieldStart("out");
        for (ControlAction action : actions) {
            write(action, out);
        }
        if (fault != null) {
            message(out, "BUG", fault);
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private static String fault(String name, String kind, RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return name + " " + kind + ": " + e + (trace.length > 0 ? " at " + trace[0] : "");
    }

    private List<ControlEvent.Endpoint> roster(List<?> message) throws BadInput {
        List<ControlEvent.Endpoint> nodes = new ArrayList<>();
        for (Object row : list(at(message, 2), "rows")) {
            List<?> r = list(row, "row");
            String phase = text(at(r, 4), "phase");
            nodes.add(new ControlEvent.Endpoint(text(at(r, 0), "target"), optionalText(at(r, 1)),
                (int) number(at(r, 3), "cohort"), switch (phase) {
                    case "healthy" -> ControlEvent.EndpointState.HEALTHY;
                    case "cordoned" -> ControlEvent.EndpointState.DRAINING;
                    case "deregistered" -> ControlEvent.EndpointState.REMOVED;
                    default -> throw new BadInput("unknown phase " + phase);
                }, optional(at(r, 6), 0)));
        }
        return List.copyOf(nodes);
    }

    private ControlEvent event(String kind, List<?> m) throws BadInput {
        switch (kind) {
            case "ENDPOINTS" -> {
                String form = text(at(m, 3), "form");
                if (form.equals("Error")) {
                    return new ControlEvent.EndpointPollFailed(ControlEvent.EndpointPollFailure.WATCH_BROKEN);
                }
                List<ControlEvent.Endpoint> nodes = rosters.get((int) number(at(m, 1), "page"));
                if (nodes == null) {
                    throw new BadInput("ENDPOINTS names list " + at(m, 1) + ", which was not sent");
                }
                return switch (form) {
                    case "Partial" -> new ControlEvent.EndpointsReceived(nodes, false, false);
                    case "Complete" -> new ControlEvent.EndpointsReceived(nodes, true, false);
                    case "Persisted" -> new ControlEvent.EndpointsReceived(nodes, true, true);
                    default -> throw new BadInput("unknown form " + form);
                };
            }
            case "NEW_REQUEST" -> {
                return new ControlEvent.RequestArrived(text(at(m, 1), "corr"), text(at(m, 2), "type"),
                    optionalText(at(m, 3)), optionalText(at(m, 4)), number(at(m, 5), "deadline"),
                    optionalText(at(m, 6)), optional(at(m, 7), 1), (int) optional(at(m, 8), -1),
                    (int) optional(at(m, 9), 1));
            }
            case "VANISHED" -> {
                return new ControlEvent.ClientDisconnected(text(at(m, 1), "corr"));
            }
            case "OPENED" -> {
                return new ControlEvent.ResponseStarted(text(at(m, 1), "corr"), (int) number(at(m, 4), "send_no"));
            }
            case "REMINDER" -> {
                return new ControlEvent.TimerFired(text(at(m, 1), "cookie"));
            }
            case "RESULT" -> {
                double use = optional(at(m, 8), 0);
                return new ControlEvent.AttemptEnded(text(at(m, 1), "corr"), (int) number(at(m, 3), "send_no"),
                    text(at(m, 4), "target"), outcome(text(at(m, 6), "verdict")), number(at(m, 5), "took"),
                    Boolean.TRUE.equals(at(m, 2)), false, optional(at(m, 7), 0), use - 1, report(at(m, 9)));
            }
            case "INBOX", "PROBED" -> {
                return null;
            }
            default -> throw new BadInput("unknown event " + kind);
        }
    }

    private static Map<String, Double> report(Object value) throws BadInput {
        if (value == null) {
            return Map.of();
        }
        Map<String, Double> report = new LinkedHashMap<>();
        for (Map.Entry<?, ?> e : object(value, "metrics").entrySet()) {
            if (e.getValue() instanceof Double d) {
                String own = switch (String.valueOf(e.getKey())) {
                    case "busy_reqs" -> "inFlight";
                    case "svc_ms" -> "serviceTime";
                    default -> null;
                };
                if (own != null) {
                    report.put(own, d);
                }
            }
        }
        return report;
    }

    private static ControlEvent.AttemptOutcome outcome(String verdict) throws BadInput {
        return switch (verdict) {
            case "pass" -> ControlEvent.AttemptOutcome.SERVED;
            case "fault" -> ControlEvent.AttemptOutcome.ERROR;
            case "no_room" -> ControlEvent.AttemptOutcome.AT_CAPACITY;
            case "too_slow" -> ControlEvent.AttemptOutcome.TIMED_OUT;
            case "no_route" -> ControlEvent.AttemptOutcome.CONNECT_FAILED;
            case "cut" -> ControlEvent.AttemptOutcome.RESET;
            case "undone" -> ControlEvent.AttemptOutcome.CANCELLED;
            case "stale_send" -> ControlEvent.AttemptOutcome.NOT_SENT;
            default -> throw new BadInput("unknown verdict " + verdict);
        };
    }

    private static void write(ControlAction action, JsonGenerator out) throws IOException {
        if (action instanceof ControlAction.SendAttempt a) {
            if (a.timeout() > 0) {
                message(out, "SEND", a.id(), a.node(), a.timeout());
            } else {
                message(out, "SEND", a.id(), a.node());
            }
        } else if (action instanceof ControlAction.SetTimer a) {
            message(out, "SET_TIMER", a.at(), a.name());
        } else if (action instanceof ControlAction.RejectRequest a) {
            message(out, "DENY", a.id(), a.retryAfter());
        } else if (action instanceof ControlAction.FailRequest a) {
            message(out, "SURRENDER", a.id());
        } else if (action instanceof ControlAction.CancelAttempt a) {
            message(out, "UNDO_SEND", a.id(), a.attempt());
        } else if (action instanceof ControlAction.PollEndpoints) {
            message(out, "WATCH", true);
        }
    }

    private static void message(JsonGenerator out, Object... values) throws IOException {
        out.writeStartArray();
        for (Object value : values) {
            if (value instanceof String s) {
                out.writeString(s);
            } else if (value instanceof Double d) {
                out.writeNumber(d);
            } else if (value instanceof Integer i) {
                out.writeNumber(i);
            } else {
                out.writeBoolean((Boolean) value);
            }
        }
        out.writeEndArray();
    }

    static Object at(List<?> values, int index) {
        return index < values.size() ? values.get(index) : null;
    }

    static Map<?, ?> object(Object value, String what) throws BadInput {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new BadInput(what + " is not an object");
    }

    static List<?> list(Object value, String what) throws BadInput {
        if (value instanceof List<?> values) {
            return values;
        }
        throw new BadInput(what + " is not an array");
    }

    static double number(Object value, String what) throws BadInput {
        if (value instanceof Double d) {
            return d;
        }
        throw new BadInput(what + " is not a number");
    }

    static String text(Object value, String what) throws BadInput {
        if (value instanceof String s) {
            return s;
        }
        throw new BadInput(what + " is not a text");
    }

    private static String optionalText(Object value) {
        return value instanceof String s ? s : null;
    }

    private static double optional(Object value, double absent) {
        return value instanceof Double d ? d : absent;
    }
}
