package kelphollow.protocol.object;

import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.routing.Request;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.ResponseCallback;

/**
 * Queries the node for the parts of an upload, on behalf of a call that must not be sent before they are known. Confined
 * to the event loop.
 */
final class UploadQuery implements ResponseCallback {
    /** Exactly one of the methods is called, once, unless the query is cancelled. */
    interface Listener {
        void responseReceived(NodeResponse response);

        void failed(S3Error error);
    }

    /** Advice to a client whose call waits for an attempt of unknown outcome, which may end at any time. */
    static final double QUERY_AGAIN_MS = 1_000;

    private final RequestRouter router;
    private final ObjectRequestMapper mapper;
    private final Listener listener;
    private Transfer.Client client;
    private boolean pending;
    private Request request;

    UploadQuery(ObjectServices services, Listener listener) {
        this.router = services.router();
        this.mapper = services.mapper();
        this.listener = listener;
    }

    /** Sends this ListParts call. */
    void send(ObjectCall list, Transfer.Client onBehalfOf) {
        client = onBehalfOf;
        pending = true;
        RequestArrived arrival;
        try {
            arrival = mapper.arrival(list);
        } catch (S3Error e) {
            fail(e);
            return;
        }
        Request submitted = router.submit(arrival, new Transfer(list, null, client), this);
        request = pending ? submitted : null;
    }

    boolean isPending() {
        return pending;
    }

    /** Cancels the query if it is pending. */
    void cancel() {
        if (pending) {
            pending = false;
            router.clientDisconnected(request);
        }
    }

    private void fail(S3Error error) {
        pending = false;
        listener.failed(error);
    }

    @Override public double clientConnectedAsOf() {
        return client.clientConnectedAsOf();
    }

    @Override public void served(Object response) {
        pending = false;
        listener.responseReceived((NodeResponse) response);
    }

    @Override public void rejected(double retryAfter, boolean timedOut) {
        fail(timedOut ? S3Error.failed(true) : S3Error.rejected(retryAfter));
    }

    @Override public void failed(boolean timedOut) {
        fail(S3Error.failed(timedOut));
    }
}
