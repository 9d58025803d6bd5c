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
import kelphollow.routing.RequestRouter;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.EndpointUpdateBudget;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall;

/**
 * Watches the platform's discovery, or the agent on this machine to which it pushes. The next call follows the last
 * answer at once, since the rule on drains counts a pause as a new watch; after a failure the core says when to ask
 * again. An answer older than the list that is held is no news and asks for the whole list; only when that is older
 * too, twice in a row, does the service count anew, and its list stands. How long a call is waited for: {@link EndpointUpdateBudget}.
 */
public final class DiscoveryWatch implements EndpointSource, HttpCall.Reply {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final int OK = 200;
    private static final int AT_ONCE = 1;
    // Answers of a service that is there and has no room for the call.
    private static final Set<Integer> TURNED_AWAY = Set.of(429, 503);
    // How much shorter than the longest wait a call's own may be, by chance.
    private static final double SPREAD = 0.25;

    private final HttpCall calls;
    private final Ticker ticker;
    private final String host;
    private final RequestRouter router;
    private final Random random;
    private long version;
    /** The next call begins a watch: it says at once what is new, once its turn at the service has come. */
    private boolean begins = true;
    /** The call under way begins a watch. */
    private boolean beginning;
    private boolean watching, stopped, askWhole;
    private int older;
    /** The call under way: its number since the start, when it was made, and for how long it asked to be held. */
    private long number;
    private double calledAt;
    private int wait;

    /**
     * {@code version} is that of the list the scheduler was started with, and only changes since then are asked for;
     * below 0 it asks for the whole list. {@code random} spreads the calls of many schedulers.
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
        if (!watching && !stopped) {
            watching = true;
            call();
        }
    }

    /** Ends the watch. Guards against late news of a service that has been replaced. */
    @Override public void stop() {
        stopped = true;
        calls.close();
    }

    private void call() {
        boolean complete = version < 0 || askWhole;
        wait = complete ? 0 : begins ? AT_ONCE : (int) (EndpointUpdateBudget.WAIT * (1 - SPREAD * random.nextDouble()));
        double patience = version < 0 ? EndpointUpdateBudget.MOVED_PATIENCE
            : wait <= AT_ONCE ? EndpointUpdateBudget.TURN_PATIENCE : wait + EndpointUpdateBudget.PATIENCE;
        beginning = begins;
        begins = false;
        calledAt = ticker.now();
        number++;
        String path = complete ? "/catalog/members" : "/catalog/members?index=" + version + "&wait=" + wait;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        calls.send(request, patience, this);
    }

    @Override public void answered(int status, String body) {
        if (status != OK) {
            ended("status " + status, TURNED_AWAY.contains(status) ? EndpointPollFailure.REJECTED
                : EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        DiscoveryListParser news;
        try {
            news = DiscoveryListParser.read(Json.parse(body));
        } catch (IOException | IllegalArgumentException e) {
            ended("malformed list: " + e.getMessage(), EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        if (news.version() < version && (!askWhole || !news.complete() || ++older < 2)) {
            askWhole = true;
            ended("version " + news.version() + " after " + version, EndpointPollFailure.INVALID_RESPONSE);
            return;
        }
        if (news.version() != version) {
            logNews(news);
        }
        double asOf = completeUpTo(news);
        version = news.version();
        askWhole = false;
        older = 0;
        call();
        router.learn(news.members(), news.complete(), asOf);
    }

    /**
     * Up to when an answer surely holds all that the service had to tell: when it was asked for, or, where it says that
     * nothing changed, until its wait was over.
     */
    private double completeUpTo(DiscoveryListParser news) {
        boolean waited = news.version() == version && !news.complete() && ticker.now() - calledAt >= wait;
        return waited ? calledAt + wait : calledAt;
    }

    private void logNews(DiscoveryListParser news) {
        LOG.info(() -> "discovery: call " + number + ": version " + news.version() + (news.complete() ? ", whole" : "")
            + ", "
            + news.members().size() + " entries, after " + (long) (ticker.now() - calledAt) + " ms");
    }

    @Override public void failed(HttpCall.Failure failure, String why) {
        ended(why, switch (failure) {
            case BROKEN -> EndpointPollFailure.UNREACHABLE;
            case SILENT -> EndpointPollFailure.TIMED_OUT;
            case UNUSABLE -> EndpointPollFailure.INVALID_RESPONSE;
        });
    }

    private void ended(String why, EndpointPollFailure failure) {
        boolean broke = !beginning && failure != EndpointPollFailure.INVALID_RESPONSE;
        LOG.info(() -> "discovery: call " + number + (beginning ? ", to begin a watch," : " of a watch") + " of version "
            + version + " failed after " + (long) (ticker.now() - calledAt) + " ms: " + why);
        watching = false;
        begins = true;
        router.endpointPollFailed(broke ? EndpointPollFailure.WATCH_BROKEN : failure, calledAt);
    }
}
