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
 * Watches the platform's discovery. The next call follows the last answer at once, since the rule on drains
 * counts a pause as a new watch; after a failure the module says when to ask again.
 */
public final class DiscoveryWatch implements Directory, HttpCall.Reply {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final int WAIT = 20_000;
    // What a call may take beyond its wait; a longer silence counts as told all the same, 2 s after the wait. After a
    // new configuration its news counts as told after 4 s: a call that is lost must be made again before that.
    private static final int PATIENCE = 1_500;

    private final HttpCall calls;
    private final String host;
    private final Core core;
    private long version;
    private boolean watching, stopped;

    /** {@code version} is that of the list the scheduler was started with; only changes since then are asked for. */
    public DiscoveryWatch(HttpCall calls, String host, Core core, long version) {
        this.calls = calls;
        this.host = host;
        this.core = core;
        this.version = version;
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
        String path = version < 0 ? "/catalog/members" : "/catalog/members?index=" + version + "&wait=" + WAIT;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
            Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        calls.send(request, version < 0 ? PATIENCE : WAIT + PATIENCE, this);   // the whole list comes at once
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
        version = news.version();
        call();
        core.learn(news.members(), news.whole(), false);
    }

    @Override public void failed(String why) {
        LOG.info(() -> "discovery: " + why);
        watching = false;
        core.listFailed();
    }
}
