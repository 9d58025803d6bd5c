package kelphollow.adapter;

import java.util.Map;
import kelphollow.decision.ControlEvent.AttemptOutcome;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.decision.ControlSettings.DeduplicationScope;
import kelphollow.decision.ControlSettings.Idempotency;

/** The words of the simulator's wire and the terms they stand for; the keys of settings are in {@link SettingsReader}. */
final class WireNames {
    /** Events: the first element of each message in. */
    static final String START_INSTANCE = "ENLIST";
    static final String STOP_INSTANCE = "DOWN";
    static final String ENDPOINT_LIST = "ROSTER";
    static final String ENDPOINTS_RECEIVED = "ENDPOINTS";
    static final String REQUEST_ARRIVED = "NEW_REQUEST";
    static final String CLIENT_DISCONNECTED = "VANISHED";
    static final String RESPONSE_STARTED = "OPENED";
    static final String TIMER_FIRED = "REMINDER";
    static final String ATTEMPT_ENDED = "RESULT";
    /** Events that concern no decision. */
    static final String MESSAGE_RECEIVED = "INBOX";
    static final String NODE_PROBED = "PROBED";

    /** Actions: the first element of each message out. */
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
    private static final Map<String, Idempotency> IDEMPOTENCIES = Map.of("pure", Idempotency.IDEMPOTENT,
        "token", Idempotency.IDEMPOTENCY_KEY, "side_effect", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES = Map.of("all", DeduplicationScope.ALL,
        "zone", DeduplicationScope.ZONE, "cell", DeduplicationScope.CELL);
    /** Figures of a node's load report. */
    private static final Map<String, String> LOAD_FIGURES = Map.of("busy_reqs", "inFlight", "svc_ms", "serviceTime");

    private WireNames() {}

    static EndpointState endpointState(String word) throws MalformedMessageException {
        return known(ENDPOINT_STATES, word, "phase");
    }

    static AttemptOutcome outcome(String word) throws MalformedMessageException {
        return known(OUTCOMES, word, "verdict");
    }

    static Idempotency idempotency(String word) throws MalformedMessageException {
        return known(IDEMPOTENCIES, word, "effect");
    }

    static DeduplicationScope deduplicationScope(String word) throws MalformedMessageException {
        return known(SCOPES, word, "dedup_scope");
    }

    /** The module's name of a figure in a load report; null when the module does not know it. */
    static String loadFigure(String word) {
        return LOAD_FIGURES.get(word);
    }

    private static <T> T known(Map<String, T> words, String word, String what) throws MalformedMessageException {
        T meaning = words.get(word);
        if (meaning == null) {
            throw new MalformedMessageException("unknown " + what + " " + word);
        }
        return meaning;
    }
}
