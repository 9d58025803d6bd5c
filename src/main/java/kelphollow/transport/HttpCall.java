package kelphollow.transport;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import kelphollow.routing.Ticker;

/**
 * Calls to one control-plane service over HTTP, one at a time. A response belongs to the call whose connection brings
 * it: a connection carries the next call only after a quarantine, and one whose call has failed is closed, even while
 * it is being established. Guards against a second or late response that is taken for the next call's. Confined to
 * the event loop.
 */
public final class HttpCall {
    /** How a call failed. */
    public enum Failure {
        /** Its connection was refused, was not established, or ended before a response. */
        CONNECTION_FAILED,
        /** Nothing came in time on an established connection. */
        TIMED_OUT,
        /** What came is no response. */
        INVALID_RESPONSE
    }

    /** What came of a call; exactly one of these is called, unless {@link HttpCall#close} comes first. */
    public interface ResponseHandler {
        /** The service has responded, with a body in UTF-8. */
        void responseReceived(int status, String body);

        /** The call has failed; {@code reason} is for the log. */
        void callFailed(Failure failure, String reason);
    }

    private final EventLoop loop;
    private final Ticker ticker;
    private final InetSocketAddress address;
    private HttpCallConnection connection;

    /** Calls to the service at this address; nothing is connected yet. */
    public HttpCall(EventLoop loop, Ticker ticker, InetSocketAddress address) {
        this.loop = loop;
        this.ticker = ticker;
        this.address = address;
    }

    /**
     * Sends a request. A call that is still under way is dropped without a response.
     *
     * @param request released by this object, whatever becomes of it
     * @param timeout milliseconds after which the call fails
     * @param handler gets the outcome
     */
    public void send(FullHttpRequest request, double timeout, ResponseHandler handler) {
        if (connection == null || !connection.mayCarryNext()) {
            close();
            connection = new HttpCallConnection(loop, ticker, address);
        }
        connection.carry(request, timeout, handler);
    }

    /** Drops the call under way without a response and closes the connection. */
    public void close() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
