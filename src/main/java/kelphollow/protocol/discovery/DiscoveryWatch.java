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
 * Watches the platform's discovery by long polls, or the agent on this machine to which it pushes. The next poll
 * follows the last response at once, since the rule on drains counts a pause as a new watch; after a failure the
 * router says when to poll again. A response older than the list that is held is dropped, and the complete list is
 * asked for; only if that is older too, twice in a row, does the service count anew, and its list is taken. Timeouts:
 * {@link EndpointUpdateBudget}. Confined to the event loop.
 */
public final class DiscoveryWatch implements EndpointSource, HttpCall.ResponseHandler {
    private enum State {
        /** No poll is under way. */
        IDLE,
        /** A poll is under way, or its response is being handled. */
        WATCHING,
        /** Ended for good. */
        STOPPED
    }

    /**
     * The poll under way.
     *
     * @param number counted from 1 since the start
     * @param sentAt clock time
     * @param waitTime milliseconds for which the service may hold it back while nothing changes
     * @param beginsWatch whether no watch was established before
     */
    private record Poll(long number, double sentAt, int waitTime, boolean beginsWatch) {}

    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final int OK = 200;
    /** Status codes of a service that is there and has no capacity for the poll. */
    private static final Set<Integer> REJECTED = Set.of(429, 503);
    /** The wait of a poll that is to be answered at once, in milliseconds. */
    private static final int NO_WAIT = 1;
    /** Share of the longest wait by which a poll's own may be shorter, at random. */
    private static final double WAIT_JITTER = 0.25;
    /** Complete lists of an older version in a row after which the service counts anew. */
    private static final int OLDER_LISTS = 2;

    private final HttpCall calls;
    private final Ticker ticker;
    private final String host;
    private final RequestRouter router;
    private final Random random;
    private State state = State.IDLE;
    private Poll poll = new Poll(0, 0, 0, false);
    private long version;
    private boolean nextBeginsWatch = true;
    private boolean completeListWanted;
    private int olderLists;

    /**
     * Watches one service.
     *
     * @param host value of the header {@code Host}
     * @param version of the list the scheduler was started with, of which only later changes are asked for; below 0: the
     *     complete list is asked for
     * @param random draws the waits, which spreads the polls of many schedulers
     */
    public DiscoveryWatch(HttpCall calls, Ticker ticker, String host, RequestRouter router, long version, Random random) {
        this.calls = calls;
        this.ticker = ticker;
        this.host = host;
        this.router = router;
        this.version = version;
        this.random = random;
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
        boolean complete = version < 0 || completeListWanted;
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
        return nextBeginsWatch ? NO_WAIT
            : (int) (EndpointUpdateBudget.LONG_POLL_WAIT_MS * (1 - WAIT_JITTER * random.nextDouble()));
    }

    private double timeout() {
        if (version < 0) {
            return EndpointUpdateBudget.NEW_SOURCE_TIMEOUT_MS;
        }
        return poll.waitTime() <= NO_WAIT ? EndpointUpdateBudget.FIRST_POLL_TIMEOUT_MS
            : poll.waitTime() + EndpointUpdateBudget.POLL_MARGIN_MS;
    }

    @Override public void responseReceived(int status, String body) {
        if (status != OK) {
            fail("status " + status, REJECTED.contains(status) ? EndpointPollFailure.REJECTED
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
            completeListWanted = true;
            fail("version " + list.version() + " after " + version, EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        take(list);
    }

    /** Whether the list is older than the one held, and it is not yet certain that the service counts anew. */
    private boolean isOutdated(DiscoveryList list) {
        if (list.version() >= version) {
            return false;
        }
        if (!completeListWanted || !list.complete()) {
            return true;
        }
        olderLists++;
        return olderLists < OLDER_LISTS;
    }

    private void take(DiscoveryList list) {
        if (list.version() != version) {
            logChange(list);
        }
        double asOf = completeUpTo(list);
        version = list.version();
        completeListWanted = false;
        olderLists = 0;
        sendPoll();
        router.updateEndpoints(list.endpoints(), list.complete(), asOf);
    }

    /**
     * The clock time up to which a response surely holds all that the service had: when it was polled, or, where it says
     * that nothing has changed, when its wait was over.
     */
    private double completeUpTo(DiscoveryList list) {
        boolean unchanged = list.version() == version && !list.complete();
        boolean waited = unchanged && ticker.now() - poll.sentAt() >= poll.waitTime();
        return waited ? poll.sentAt() + poll.waitTime() : poll.sentAt();
    }

    private void logChange(DiscoveryList list) {
        LOG.info(() -> "discovery: poll " + poll.number() + ": version " + list.version()
            + (list.complete() ? ", complete" : "") + ", " + list.endpoints().size() + " entries, after "
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
        LOG.info(() -> "discovery: poll " + poll.number() + (poll.beginsWatch() ? ", to begin a watch," : " of a watch")
            + " of version " + version + " failed after " + (long) (ticker.now() - poll.sentAt()) + " ms: " + reason);
        if (state != State.STOPPED) {
            state = State.IDLE;
        }
        nextBeginsWatch = true;
        router.endpointPollFailed(watchBroken ? EndpointPollFailure.WATCH_BROKEN : failure, poll.sentAt());
    }
}
