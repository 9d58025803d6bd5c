package kelphollow.adapter;

import static kelphollow.adapter.JsonFields.at;
import static kelphollow.adapter.JsonFields.list;
import static kelphollow.adapter.JsonFields.number;
import static kelphollow.adapter.JsonFields.numberOr;
import static kelphollow.adapter.JsonFields.object;
import static kelphollow.adapter.JsonFields.text;
import static kelphollow.adapter.JsonFields.textOr;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kelphollow.decision.ControlEvent;
import kelphollow.decision.ControlEvent.AttemptEnded;
import kelphollow.decision.ControlEvent.ClientDisconnected;
import kelphollow.decision.ControlEvent.Endpoint;
import kelphollow.decision.ControlEvent.EndpointPollFailed;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.decision.ControlEvent.EndpointsReceived;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlEvent.ResponseStarted;
import kelphollow.decision.ControlEvent.TimerFired;

/**
 * Decodes wire messages into events of the decision module. Stores endpoint lists, since the wire sends each list once and
 * then refers to it by number. Not thread-safe.
 */
final class EventReader {
    /** Endpoint lists by the number assigned on the wire. */
    private final Map<Integer, List<Endpoint>> lists = new LinkedHashMap<>();

    /** Stores an endpoint list under its number. */
    void storeEndpointList(List<?> message) throws MalformedMessageException {
        List<Endpoint> endpoints = new ArrayList<>();
        int number = (int) number(at(message, 1), "page");
        for (Object row : list(at(message, 2), "rows")) {
            endpoints.add(endpoint(list(row, "row")));
        }
        lists.put(number, List.copyOf(endpoints));
    }

    private static Endpoint endpoint(List<?> row) throws MalformedMessageException {
        String state = text(at(row, 4), "phase");
        return new Endpoint(text(at(row, 0), "target"), textOr(at(row, 1), null), (int) number(at(row, 3), "cohort"),
            WireNames.endpointState(state), numberOr(at(row, 6), 0));
    }

    /** The event that a message encodes, or null if the decision module does not handle it. */
    ControlEvent read(String kind, List<?> message) throws MalformedMessageException {
        return switch (kind) {
            case WireNames.ENDPOINTS_RECEIVED -> endpointList(message);
            case WireNames.REQUEST_ARRIVED -> requestArrived(message);
            case WireNames.CLIENT_DISCONNECTED -> new ClientDisconnected(requestId(message));
            case WireNames.RESPONSE_STARTED ->
                new ResponseStarted(requestId(message), (int) number(at(message, 4), "send_no"));
            case WireNames.TIMER_FIRED -> new TimerFired(text(at(message, 1), "cookie"));
            case WireNames.ATTEMPT_ENDED -> attemptEnded(message);
            case WireNames.MESSAGE_RECEIVED, WireNames.NODE_PROBED -> null;
            default -> throw new MalformedMessageException("unknown event " + kind);
        };
    }

    private static String requestId(List<?> message) throws MalformedMessageException {
        return text(at(message, 1), "corr");
    }

    private ControlEvent endpointList(List<?> message) throws MalformedMessageException {
        String form = text(at(message, 3), "form");
        if (form.equals(WireNames.POLL_FAILED)) {
            return new EndpointPollFailed(EndpointPollFailure.WATCH_BROKEN);
        }
        List<Endpoint> endpoints = lists.get((int) number(at(message, 1), "page"));
        if (endpoints == null) {
            throw new MalformedMessageException("ENDPOINTS refers to list " + at(message, 1)
                + ", which no ROSTER has defined");
        }
        return switch (form) {
            case WireNames.CHANGED_ENTRIES -> new EndpointsReceived(endpoints, false, false);
            case WireNames.COMPLETE_LIST -> new EndpointsReceived(endpoints, true, false);
            case WireNames.CACHED_LIST -> new EndpointsReceived(endpoints, true, true);
            default -> throw new MalformedMessageException("unknown form " + form + " of an endpoint list");
        };
    }

    private static ControlEvent requestArrived(List<?> message) throws MalformedMessageException {
        return new RequestArrived(requestId(message), text(at(message, 2), "type"), textOr(at(message, 3), null),
            textOr(at(message, 4), null), number(at(message, 5), "deadline"), textOr(at(message, 6), null),
            numberOr(at(message, 7), 1), (int) numberOr(at(message, 8), -1), (int) numberOr(at(message, 9), 1));
    }

    private static ControlEvent attemptEnded(List<?> message) throws MalformedMessageException {
        // The wire encodes usage as 1 + percent, and unknown usage as 0.
        double usagePercent = numberOr(at(message, 8), 0) - 1;
        return new AttemptEnded(requestId(message), (int) number(at(message, 3), "send_no"),
            text(at(message, 4), "target"), WireNames.outcome(text(at(message, 6), "verdict")),
            number(at(message, 5), "took"), Boolean.TRUE.equals(at(message, 2)), false, numberOr(at(message, 7), 0),
            usagePercent, loadReport(at(message, 9)));
    }

    private static Map<String, Double> loadReport(Object value) throws MalformedMessageException {
        if (value == null) {
            return Map.of();
        }
        Map<String, Double> report = new LinkedHashMap<>();
        for (Map.Entry<?, ?> entry : object(value, "metrics").entrySet()) {
            String metric = WireNames.loadMetric(String.valueOf(entry.getKey()));
            if (metric != null && entry.getValue() instanceof Double d) {
                report.put(metric, d);
            }
        }
        return report;
    }
}
