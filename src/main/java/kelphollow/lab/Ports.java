package kelphollow.lab;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports of the loopback for processes that keep theirs while they are down. They lie under those that systems give to
 * connections by themselves (from 32,768 on), so that no connection takes one meanwhile.
 */
public final class Ports {
    private static final int FIRST = 15_000;
    private static final int LAST = 32_000;
    private static final int ATTEMPTS = 1_000;
    private final Set<Integer> taken = new HashSet<>();

    /** A port that is free for TCP and UDP and was not given out by this object before. */
    public synchronized int free() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
            if (taken.add(port)) {
                try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                     DatagramSocket udp = new DatagramSocket(port, loopback)) {
                    return port;
                } catch (IOException e) {
                    // The port is in use: the next attempt draws another.
                }
            }
        }
        throw new IOException("no free port");
    }
}
