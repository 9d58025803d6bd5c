package kelphollow.protocol.xds;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Logger;
import kelphollow.decision.ControlEvent.EndpointPollFailure;
import kelphollow.routing.EndpointSource;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResolvedEndpoint;
import kelphollow.routing.Ticker;
import kelphollow.transport.HttpCall;

/**
 * Polls xDS over REST: first the cluster, then its endpoints, and repeats while both succeed. An invalid response is
 * rejected as a whole and the last valid list stays in use; the router then decides when to poll again. Confined to the
 * event loop.
 */
public final class XdsPoller implements EndpointSource {
    /**
     * What to poll, and the interval.
     *
     * @param host value of the header {@code Host}
     * @param cluster name of the cluster
     * @param shards number of shards
     * @param nodeId id of this instance as reported to the control plane
     * @param nodeCluster cluster of this instance as reported to the control plane
     * @param refresh milliseconds between two polls
     */
    public record Query(String host, String cluster, int shards, String nodeId, String nodeCluster, double refresh) {}

    private enum State {
        /** No poll is scheduled or in flight. */
        IDLE,
        /** A poll is in flight, or the next one is scheduled. */
        POLLING,
        /** Stopped permanently. */
        STOPPED
    }

    private static final Logger LOG = Logger.getLogger(XdsPoller.class.getName());
    /** Time limit of a poll. */
    private static final double TIMEOUT_MS = 2_000;

    private final HttpCall calls;
    private final Ticker ticker;
    private final RequestRouter router;
    private final Query query;
    private final Consumer<List<ResolvedEndpoint>> confirmed;
    private State state = State.IDLE;
    private String clusterVersion = "";
    private String endpointVersion = "";
    private XdsResourceParser.Cluster cluster;
    private List<ResolvedEndpoint> endpoints = List.of();

    /** {@code confirmed} receives the complete list whenever it was received or found unchanged. */
    public XdsPoller(HttpCall calls, Ticker ticker, RequestRouter router, Query query,
        Consumer<List<ResolvedEndpoint>> confirmed) {
        this.calls = calls;
        this.ticker = ticker;
        this.router = router;
        this.query = query;
        this.confirmed = confirmed;
    }

    @Override public void watch() {
        if (state == State.IDLE) {
            state = State.POLLING;
            pollCluster();
        }
    }

    @Override public void stop() {
        state = State.STOPPED;
        calls.close();
    }

    private void pollCluster() {
        if (state == State.STOPPED) {
            return;
        }
        send(new XdsRequest("clusters", XdsResourceParser.CLUSTER, query.cluster(), clusterVersion), response -> {
            if (response.resources() != null) {
                applyCluster(XdsResourceParser.cluster(response.resources(), query.cluster(), query.shards()), response
                    .version());
            }
            if (cluster.inline() == null) {
                pollEndpoints();
            } else {
                scheduleNext();
            }
        });
    }

    private void applyCluster(XdsResourceParser.Cluster next, String version) {
        // The known version belongs to the endpoints of the cluster's former service name.
        if (cluster == null || !cluster.serviceName().equals(next.serviceName())) {
            endpointVersion = "";
        }
        cluster = next;
        clusterVersion = version;
        if (next.inline() != null) {
            update(next.inline());
        }
    }

    private void pollEndpoints() {
        XdsRequest request =
            new XdsRequest("endpoints", XdsResourceParser.ASSIGNMENT, cluster.serviceName(), endpointVersion);
        send(request, response -> {
            if (response.resources() != null) {
                List<ResolvedEndpoint> next =
                    XdsResourceParser.endpoints(response.resources(), cluster.serviceName(), query.shards());
                endpointVersion = response.version();
                update(next);
            }
            scheduleNext();
        });
    }

    private void update(List<ResolvedEndpoint> next) {
        endpoints = next;
        router.updateEndpoints(next, true);
    }

    /** All polls of a round succeeded. */
    private void scheduleNext() {
        confirmed.accept(endpoints);
        ticker.after(query.refresh(), this::pollCluster);
    }

    private void send(XdsRequest request, Consumer<XdsResponse> handler) {
        calls.send(request.encode(query), TIMEOUT_MS, new HttpCall.ResponseHandler() {
            @Override public void responseReceived(int status, String body) {
                try {
                    handler.accept(XdsResponse.parse(status, body, request.version()));
                } catch (IOException | IllegalArgumentException e) {
                    fail(request.collection() + ": " + e.getMessage());
                }
            }

            @Override public void callFailed(HttpCall.Failure failure, String reason) {
                fail(reason);
            }
        });
    }

    private void fail(String reason) {
        LOG.warning(() -> "xDS: poll failed, keeping the last valid endpoint list: " + reason);
        if (state == State.POLLING) {
            state = State.IDLE;
        }
        router.endpointPollFailed(EndpointPollFailure.WATCH_BROKEN, ticker.now());
    }
}
