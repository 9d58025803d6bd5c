package kelphollow.adapter;

import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;

/** Names in the simulator's wire format and what they mean to the module; keys of settings are in {@link SettingsReader}. */
final class WireNames {
    /** Events: the first element of each incoming message. */
    static final String START_INSTANCE = "ENLIST";
    static final String STOP_INSTANCE = "DOWN";
    static final String ENDPOINT_LIST = "ROSTER";
    static final String ENDPOINTS_RECEIVED = "ENDPOINTS";
    static final String REQUEST_ARRIVED = "NEW_REQUEST";
    static final String CLIENT_DISCONNECTED = "VANISHED";
    static final String RESPONSE_STARTED = "OPENED";
    static final String TIMER_FIRED = "REMINDER";
    static final String ATTEMPT_ENDED = "RESULT";
    /** Events that the decision module does not handle. */
    static final String MESSAGE_RECEIVED = "INBOX";
    static final String NODE_PROBED = "PROBED";

    /** Actions: the first element of each outgoing message. */
    static final String SEND_ATTEMPT = "SEND";
    static final String SET_TIMER = "SET_TIMER";
    static final String REJECT_REQUEST = "DENY";
    static final String FAIL_REQUEST = "SURRENDER";
    static final String CANCEL_ATTEMPT = "UNDO_SEND";
    static final String POLL_ENDPOINTS = "WATCH";
    static final String INTERNAL_ERROR = "BUG";

    /** Forms of an endpoint list. */
    static final String POLL_FAILED = "Error";
    static final String CHANGED_ENTRIES = "Partial";
    static final String COMPLETE_LIST = "Complete";
    static final String CACHED_LIST = "Persisted";

    /** Keys of a batch and of a reply. */
    static final String TIME = "at_time";
    static final String INSTANCES = "parts";
    static final String INSTANCE_ID = "initiator_id";
    static final String EVENTS = "input";
    static final String ACTIONS = "out";

    private static final Map<String, EndpointState> ENDPOINT_STATES = Map.of("healthy", EndpointState.HEALTHY,
        "cordoned", EndpointState.DRAINING, "deregistered", EndpointState.REMOVED);
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of("pass", AttemptOutcome.SERVED,
        "fault", AttemptOutcome.ERROR, "no_room", AttemptOutcome.AT_CAPACITY, "too_slow", AttemptOutcome.TIMED_OUT,
        "no_route", AttemptOutcome.CONNECT_FAILED, "cut", AttemptOutcome.RESET, "undone", AttemptOutcome.CANCELLED,
        "stale_send", AttemptOutcome.NOT_SENT);
    private static final Map<String, Idempotency> IDEMPOTENCY_KINDS = Map.of("pure", Idempotency.IDEMPOTENT,
        "token", Idempotency.IDEMPOTENCY_KEY, "side_effect", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES = Map.of("all", DeduplicationScope.ALL,
        "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    /** Names of a node's load metrics. */
    private static final Map<String, String> LOAD_METRICS = Map.of("busy_reqs", "inFlight", "svc_ms", "serviceTime");

    private WireNames() {}

    static EndpointState endpointState(String name) throws MalformedMessageException {
        return lookUp(ENDPOINT_STATES, name, "phase");
    }

    static AttemptOutcome outcome(String name) throws MalformedMessageException {
        return lookUp(OUTCOMES, name, "verdict");
    }

    static Idempotency idempotency(String name) throws MalformedMessageException {
        return lookUp(IDEMPOTENCY_KINDS, name, "effect");
    }

    static DeduplicationScope deduplicationScope(String name) throws MalformedMessageException {
        return lookUp(SCOPES, name, "dedup_scope");
    }

    /** The module's name of a load metric, or null if the module does not use it. */
    static String loadMetric(String name) {
        return LOAD_METRICS.get(name);
    }

    private static <T> T lookUp(Map<String, T> names, String name, String what) throws MalformedMessageException {
        T meaning = names.get(name);
        if (meaning == null) {
            throw new MalformedMessageException("unknown " + what + " " + name);
        }
        return meaning;
    }
}
