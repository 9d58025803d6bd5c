package kelphollow.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates loopback ports for processes that keep their port across restarts. All are below the ephemeral range (from
 * 32,768), so that no outgoing connection takes the port of a process that is down.
 */
public final class Ports {
    private static final int FIRST_PORT = 15_000;
    private static final int PORT_LIMIT = 32_000;
    private static final int MAX_ATTEMPTS = 1_000;
    private final Set<Integer> allocated = new HashSet<>();

    /** Returns a port that is free for TCP and UDP and that this object has not returned before. */
    public synchronized int free() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
            if (allocated.add(port)) {
                try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                     DatagramSocket udp = new DatagramSocket(port, loopback)) {
                    return port;
                } catch (IOException e) {
                    // The port is in use: the next attempt draws another.
                }
            }
        }
        throw new IOException("no port from " + FIRST_PORT + " up to below " + PORT_LIMIT + " was free in " + MAX_ATTEMPTS
            + " attempts");
    }
}
