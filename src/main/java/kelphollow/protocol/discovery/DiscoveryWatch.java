package kelphollow.protocol.discovery;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Random;
import java.util.Set;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.protocol.json.Json;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.EndpointUpdateBudget;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall;

/**
 * Watches the platform's discovery service, or the agent on this machine to which it pushes, by long polls. Each poll
 * follows the previous response immediately, because discovery's contract on drains counts a pause as a new watch; after a
 * failure the router decides when to poll again. A response older than the current list is dropped and the complete list
 * is requested. If complete lists are older twice in a row, the service has restarted its version count, and the list is
 * accepted. Timeouts are those of {@link EndpointUpdateBudget}. Confined to the event loop.
 */
public final class DiscoveryWatch implements EndpointSource, HttpCall.ResponseHandler {
    private enum State {
        /** No poll is in progress. */
        IDLE,
        /** A poll is in progress, or its response is being handled. */
        WATCHING,
        /** Stopped permanently. */
        STOPPED
    }

    /**
     * The latest poll.
     *
     * @param number sequence number since the start, from 1
     * @param sentAt clock time at which it was sent
     * @param waitTime milliseconds for which the service may delay its response while nothing changes
     * @param beginsWatch whether it starts a watch rather than continues one
     */
    private record Poll(long number, double sentAt, int waitTime, boolean beginsWatch) {}

    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final int OK = 200;
    /** Status codes of a service that is reachable but has no capacity for the poll. */
    private static final Set<Integer> REJECTED = Set.of(429, 503);
    /** Wait of a poll to which the service is to respond at once. */
    private static final int NO_WAIT_MS = 1;
    /** Largest random reduction of a poll's wait, as a fraction of the longest wait. */
    private static final double WAIT_JITTER = 0.25;
    /** Consecutive complete lists of an older version that show that the service has restarted its version count. */
    private static final int OLDER_LISTS_FOR_RESET = 2;

    private final HttpCall calls;
    private final Ticker ticker;
    private final String host;
    private final RequestRouter router;
    private final Random random;
    private State state = State.IDLE;
    private Poll poll = new Poll(0, 0, 0, false);
    private long version;
    private boolean nextBeginsWatch = true;
    private boolean completeListNeeded;
    private int olderLists;

    /**
     * Creates a watch of one service; it polls after {@link #watch}.
     *
     * @param host value of the {@code Host} header
     * @param version version of the list that the scheduler was started with, so that only later changes are requested; if
     *     negative, the complete list is requested
     * @param random source of the random waits, which spread the polls of many schedulers
     */
    public DiscoveryWatch(HttpCall calls, Ticker ticker, String host, RequestRouter router, long version, Random random) {
        this.calls = calls;
        this.ticker = ticker;
        this.host = host;
        this.router = router;
        this.version = version;
        this.random = random;
    }

    /** Version of the list that was accepted last. */
    public long version() {
        return version;
    }

    /** The service that is watched. */
    public String host() {
        return host;
    }

    @Override public void watch() {
        if (state == State.IDLE) {
            state = State.WATCHING;
            sendPoll();
        }
    }

    @Override public void stop() {
        state = State.STOPPED;
        calls.close();
    }

    private void sendPoll() {
        boolean complete = version < 0 || completeListNeeded;
        poll = new Poll(poll.number() + 1, ticker.now(), drawWait(complete), nextBeginsWatch);
        nextBeginsWatch = false;
        String path = complete ? "/catalog/members" : "/catalog/members?index=" + version + "&wait=" + poll.waitTime();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        calls.send(request, timeout(), this);
    }

    private int drawWait(boolean complete) {
        if (complete) {
            return 0;
        }
        return nextBeginsWatch ? NO_WAIT_MS
            : (int) (EndpointUpdateBudget.LONG_POLL_WAIT_MS * (1 - WAIT_JITTER * random.nextDouble()));
    }

    private double timeout() {
        if (version < 0) {
            return EndpointUpdateBudget.NEW_SOURCE_TIMEOUT_MS;
        }
        return poll.waitTime() <= NO_WAIT_MS ? EndpointUpdateBudget.FIRST_POLL_TIMEOUT_MS
            : poll.waitTime() + EndpointUpdateBudget.POLL_MARGIN_MS;
    }

    @Override public void responseReceived(int status, String body) {
        if (status != OK) {
            fail("HTTP status " + status, REJECTED.contains(status) ? EndpointPollFailure.REJECTED
                : EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        DiscoveryList list;
        try {
            list = DiscoveryListParser.parse(Json.parse(body));
        } catch (IOException | IllegalArgumentException e) {
            fail("malformed list: " + e.getMessage(), EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        if (isOutdated(list)) {
            completeListNeeded = true;
            fail("received version " + list.version() + ", older than the current version " + version,
                EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        accept(list);
    }

    /** Whether the list is older than the current one and the service has not yet proved to have restarted its count. */
    private boolean isOutdated(DiscoveryList list) {
        if (list.version() >= version) {
            return false;
        }
        if (!completeListNeeded || !list.complete()) {
            return true;
        }
        olderLists++;
        return olderLists < OLDER_LISTS_FOR_RESET;
    }

    private void accept(DiscoveryList list) {
        if (list.version() != version) {
            logChange(list);
        }
        double asOf = completeUpTo(list);
        version = list.version();
        completeListNeeded = false;
        olderLists = 0;
        sendPoll();
        router.updateEndpoints(list.endpoints(), list.complete(), asOf);
    }

    /**
     * Returns the clock time up to which the response is certain to include all changes at the service: the time of the
     * poll, or, if nothing changed during the whole wait, the end of the wait.
     */
    private double completeUpTo(DiscoveryList list) {
        boolean unchanged = list.version() == version && !list.complete();
        boolean waited = unchanged && ticker.now() - poll.sentAt() >= poll.waitTime();
        return waited ? poll.sentAt() + poll.waitTime() : poll.sentAt();
    }

    private void logChange(DiscoveryList list) {
        LOG.info(() -> "discovery: poll " + poll.number() + ": version " + version + " -> " + list.version()
            + (list.complete() ? ", complete list, " : ", changes, ") + list.endpoints().size() + " entries, after "
            + (long) (ticker.now() - poll.sentAt()) + " ms");
    }

    @Override public void callFailed(HttpCall.Failure failure, String reason) {
        fail(reason, switch (failure) {
            case CONNECTION_FAILED -> EndpointPollFailure.UNREACHABLE;
            case TIMED_OUT -> EndpointPollFailure.TIMED_OUT;
            case INVALID_RESPONSE -> EndpointPollFailure.INVALID_RESPONSE;
        });
    }

    private void fail(String reason, EndpointPollFailure failure) {
        boolean watchBroken = !poll.beginsWatch() && failure != EndpointPollFailure.INVALID_RESPONSE;
        LOG.info(() -> "discovery: poll " + poll.number() + (poll.beginsWatch() ? " (starts a watch)"
            : " (continues a watch)")
            + " at version " + version + " failed after " + (long) (ticker.now() - poll.sentAt()) + " ms: " + reason);
        if (state != State.STOPPED) {
            state = State.IDLE;
        }
        nextBeginsWatch = true;
        router.endpointPollFailed(watchBroken ? EndpointPollFailure.WATCH_BROKEN : failure, poll.sentAt());
    }
}
