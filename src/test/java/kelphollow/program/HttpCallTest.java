package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.transport.HttpCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A response is assigned to the call on whose connection it arrives, however calls, timeouts and responses race. */
@Timeout(20)
class HttpCallTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ManualTicker ticker = new ManualTicker(loop);
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    /** Shared by all calls, as the discovery watch does. */
    private final HttpCall.ResponseHandler handler = new HttpCall.ResponseHandler() {
        @Override public void responseReceived(int status, String body) {
            outcomes.add(body);
        }

        @Override public void callFailed(HttpCall.Failure failure, String reason) {
            outcomes.add("failed: " + reason);
        }
    };

    @AfterEach void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void send(HttpCall calls, String path) {
        calls.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER), 1_000,
            handler);
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String requestedPath(ScriptedPeer.Connection connection) throws Exception {
        return connection.until("\r\n\r\n").split(" ")[1];
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(10, TimeUnit.SECONDS);
    }

    @Test void aConnectionEstablishedAfterItsCallHasFailedSendsNothing() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer()) {
            HttpCall calls = new HttpCall(loop, ticker, peer.address());
            // The loop starts to connect and sees the established connection only after the second call has started.
            loop.execute(() -> {
                send(calls, "/first");
                loop.execute(() -> {
                    ticker.advance(1_000);
                    send(calls, "/second");
                });
            });

            assertEquals("failed: no answer in time", outcome());
            assertTrue(peer.accept().hasEnded());
            ScriptedPeer.Connection second = peer.accept();
            assertEquals("/second", requestedPath(second));
            second.send(response("b"));
            assertEquals("b", outcome());
        }
    }

    @Test void anUnsolicitedSecondResponseIsNotAssignedToTheNextCall() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer()) {
            HttpCall calls = new HttpCall(loop, ticker, peer.address());
            loop.execute(() -> send(calls, "/first"));
            ScriptedPeer.Connection first = peer.accept();
            assertEquals("/first", requestedPath(first));
            first.send(response("a"));
            assertEquals("a", outcome());

            loop.submit(() -> send(calls, "/second")).sync();
            ScriptedPeer.Connection second = peer.accept();
            assertEquals("/second", requestedPath(second));
            first.send(response("late"));

            assertTrue(first.hasEnded(), "the connection with the unsolicited response is closed");
            second.send(response("b"));
            assertEquals("b", outcome());
            assertNull(outcomes.poll());
        }
    }

    @Test void anIdleConnectionWithoutUnsolicitedBytesIsReused() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer()) {
            HttpCall calls = new HttpCall(loop, ticker, peer.address());
            loop.execute(() -> send(calls, "/first"));
            ScriptedPeer.Connection only = peer.accept();
            requestedPath(only);
            only.send(response("a"));
            assertEquals("a", outcome());

            ticker.advance(50);
            loop.execute(() -> send(calls, "/second"));

            assertEquals("/second", requestedPath(only));
            only.send(response("b"));
            assertEquals("b", outcome());
        }
    }

    @Test void aResponseWithoutALengthEndsByACloseAndNotByAReset() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (ScriptedPeer peer = new ScriptedPeer()) {
                HttpCall calls = new HttpCall(loop, ticker, peer.address());
                loop.execute(() -> send(calls, "/list"));
                ScriptedPeer.Connection connection = peer.accept();
                requestedPath(connection);
                connection.send("HTTP/1.1 200 OK\r\n\r\nhalf");

                if (reset) {
                    connection.reset();
                    assertEquals("failed: connection reset", outcome());
                } else {
                    connection.shutdown();
                    assertEquals("half", outcome());
                }
            }
        }
    }

    @Test void aCallThatIsClosedWhileItConnectsSendsAndReportsNothing() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer()) {
            HttpCall calls = new HttpCall(loop, ticker, peer.address());

            loop.execute(() -> {
                send(calls, "/list");
                loop.execute(calls::close);        // the connection is being established
            });

            assertTrue(peer.accept().hasEnded());
            ticker.advance(2_000);
            assertNull(outcomes.poll());
        }
    }

    @Test void aResponseThatNeverEndsTimesOut() throws Exception {
        try (ScriptedPeer peer = new ScriptedPeer()) {
            HttpCall calls = new HttpCall(loop, ticker, peer.address());
            loop.execute(() -> send(calls, "/list"));
            ScriptedPeer.Connection connection = peer.accept();
            requestedPath(connection);

            connection.send("HTTP/1.1 200 OK\r\n\r\nand so on");
            ticker.advance(1_000);

            assertEquals("failed: no answer in time", outcome());
            assertTrue(connection.hasEnded());
        }
    }
}
