package kelphollow.protocol.mgmt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks over loopback that each management connection is answered by one line, whatever other connections do. */
class MgmtServerTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<MgmtLine.Command> commands = new ArrayList<>();
    private final MgmtServer server = new MgmtServer(group.next(), command -> {
        synchronized (commands) {
            commands.add(command);
        }
        return CompletableFuture.completedFuture(command.verb() == MgmtLine.Verb.STATUS ? "ACK ready"
            : "ACK " + command.node());
    });
    private final InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));

    @AfterEach void stop() {
        server.stop();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private String call(byte[] line) throws Exception {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(3_000);
            OutputStream out = socket.getOutputStream();
            out.write(line);
            out.flush();
            String answer = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
            assertEquals(-1, socket.getInputStream().read(), "the connection is closed after the answer");
            return answer;
        }
    }

    private String call(String line) throws Exception {
        return call(line.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test void commandsAreAnsweredAndInvalidLinesRejected() throws Exception {
        assertEquals("ACK ready", call("status\n"));
        assertEquals("ACK s-1", call("maint-on s-1\r\n"));
        assertTrue(call("reboot\n").startsWith("NAK unknown call"));
        assertTrue(call("maint-off\n").startsWith("NAK maint-off takes one"));
        assertTrue(call("status \u0001\n").startsWith("NAK the line holds bytes"));
        assertTrue(call("x".repeat(10_000)).startsWith("NAK the line is longer"));
        assertEquals(2, commands.size(), "invalid lines execute nothing");
    }

    @Test void inputAfterTheLineDoesNotResetTheAnswer() throws Exception {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(("status\n" + "x".repeat(100_000)).getBytes(StandardCharsets.US_ASCII));
            assertEquals("ACK ready\n", new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    @Test void silentConnectionsDoNotDelayOthers() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 20; i++) {
                Socket socket = new Socket(at.getAddress(), at.getPort());
                socket.getOutputStream().write("stat".getBytes(StandardCharsets.US_ASCII));
                silent.add(socket);
            }
            long start = System.nanoTime();
            assertEquals("ACK ready", call("status\n"));
            assertTrue(System.nanoTime() - start < 1_000_000_000L, "answered within a second");
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test void connectionAboveTheLimitClosesTheOldest() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < MgmtServer.MAX_CONNECTIONS + 5; i++) {
                silent.add(new Socket(at.getAddress(), at.getPort()));
            }
            assertEquals("ACK ready", call("status\n"));
            silent.get(0).setSoTimeout(3_000);
            assertEquals(-1, silent.get(0).getInputStream().read(), "the oldest silent connection is closed");
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }
}
