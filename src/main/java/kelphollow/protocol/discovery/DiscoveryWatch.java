package kelphollow.protocol.discovery;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.logging.Logger;
import kelphollow.protocol.json.Json;
import kelphollow.routing.Core;
import kelphollow.routing.Directory;
import kelphollow.transport.HttpCall;

/**
 * Watches the platform's discovery, or the agent on this machine to which it pushes. The next call follows the last
 * answer at once, since the rule on drains counts a pause as a new watch; after a failure the core says when to ask
 * again. An answer older than the list that is held is no news and asks for the whole list; only when that is older
 * too, twice in a row, does the service count anew, and its list stands.
 */
public final class DiscoveryWatch implements Directory, HttpCall.Reply {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final int WAIT = 20_000;
    // A call to the agent costs nothing, and the agent is silent while discovery is down: a short wait tells silence
    // from no news, so that the list is asked for again soon after discovery is back.
    private static final int PUSHED_WAIT = 2_000;
    // What a call may take beyond its wait; a longer silence counts as told all the same, 2 s after the wait. After a
    // new configuration its news counts as told after 4 s: a call that is lost must be made again before that.
    private static final int PATIENCE = 1_500;

    private final HttpCall calls;
    private final String host;
    private final Core core;
    private final int wait;
    private long version;
    private boolean watching, stopped, askWhole;
    private int older;

    /**
     * {@code version} is that of the list the scheduler was started with, and only changes since then are asked for;
     * below 0 it asks for the whole list. {@code pushed}: an agent answers, at no cost.
     */
    public DiscoveryWatch(HttpCall calls, String host, Core core, long version, boolean pushed) {
        this.calls = calls;
        this.host = host;
        this.core = core;
        this.version = version;
        this.wait = pushed ? PUSHED_WAIT : WAIT;
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
        boolean whole = version < 0 || askWhole;
        String path = whole ? "/catalog/members" : "/catalog/members?index=" + version + "&wait=" + wait;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        calls.send(request, whole ? PATIENCE : wait + PATIENCE, this);   // the whole list comes at once
    }

    @Override public void answered(int status, String body) {
        if (status != 200) {
            failed("status " + status);
            return;
        }
        Members news;
        try {
            news = Members.read(Json.parse(body));
        } catch (IOException | IllegalArgumentException e) {
            failed("malformed list: " + e.getMessage());
            return;
        }
        if (news.version() < version && (!askWhole || !news.whole() || ++older < 2)) {
            askWhole = true;
            failed("version " + news.version() + " after " + version);
            return;
        }
        version = news.version();
        askWhole = false;
        older = 0;
        call();
        core.learn(news.members(), news.whole(), false);
    }

    @Override public void failed(String why) {
        LOG.info(() -> "discovery: " + why);
        watching = false;
        core.listFailed();
    }
}
