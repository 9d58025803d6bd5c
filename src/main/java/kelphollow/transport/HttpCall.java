package kelphollow.transport;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import kelphollow.routing.Ticker;

/**
 * Calls one control-plane service over HTTP, one call at a time. Prevents a second or late response from being taken for
 * the response to the next call: a connection carries the next call only after a reuse delay, and a connection whose call
 * has failed is closed, even while it is being established. Confined to the event loop.
 */
public final class HttpCall {
    /** How a call failed. */
    public enum Failure {
        /** The connection was refused, was not established, or ended before a response. */
        CONNECTION_FAILED,
        /** No response came in time on an established connection. */
        TIMED_OUT,
        /** What was received is not a valid response. */
        INVALID_RESPONSE
    }

    /** Gets the outcome of a call; exactly one method is called, unless {@link HttpCall#close} is called first. */
    public interface ResponseHandler {
        /** The service has responded, with a body in UTF-8. */
        void responseReceived(int status, String body);

        /** The call has failed; {@code reason} is text for the log. */
        void callFailed(Failure failure, String reason);
    }

    private final EventLoop loop;
    private final Ticker ticker;
    private final InetSocketAddress address;
    private HttpCallConnection connection;

    /** Creates a client of the service at this address; does not connect yet. */
    public HttpCall(EventLoop loop, Ticker ticker, InetSocketAddress address) {
        this.loop = loop;
        this.ticker = ticker;
        this.address = address;
    }

    /**
     * Sends a request. A call that is still in progress is abandoned, and its handler is not called.
     *
     * @param request released by this object, whatever the outcome
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

    /** Abandons the call in progress without calling its handler, and closes the connection. */
    public void close() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
