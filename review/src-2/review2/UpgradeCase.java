package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A case in which the platform's process is replaced by one that runs beside it. Descriptor 0 of this process is the clients'
 * listening socket, as the platform holds it, and its port is in REVIEW_LISTEN_PORT.
 */
abstract class UpgradeCase extends Case {
    static final int SHARDS = 4;
    /** The longest deadline, counted as 3 s at most, and 0.7 s. */
    static final long KILL_AFTER_MS = 3_700;
    private static final long YES_WITHIN_MS = 6_000;

    final Discovery discovery = new Discovery();
    final InetSocketAddress listen;

    UpgradeCase() throws IOException {
        listen = new InetSocketAddress("127.0.0.1", Integer.parseInt(System.getenv("REVIEW_LISTEN_PORT")));
    }

    final void write(Path file, int mgmt, String classes) throws IOException {
        Platform.write(file, "127.0.0.1:" + listen.getPort(), discovery.text(), "127.0.0.1:" + mgmt, discovery.list(), classes,
            SHARDS, 3);
    }

    /** Starts a process; all share the clients' socket and one temporary folder. */
    final Scheduler start(String name, Path file) throws IOException {
        Path shared = Files.createDirectories(folder.resolve("shared"));
        return new Scheduler(name, "", Map.of("GW_CONFIG", file.toString(), "GW_SOCKET_FD", "0", "TMPDIR",
            shared.toString()), folder);
    }

    /** Waits until the process at this management address says that it is ready. */
    static void awaitYes(int mgmt) throws InterruptedException, NotRunException {
        long until = System.nanoTime() + YES_WITHIN_MS * 1_000_000;
        while (!status(mgmt).startsWith("ACK")) {
            if (System.nanoTime() > until) {
                throw new NotRunException("the second process has not said yes within 6 s");
            }
            Thread.sleep(50);
        }
        Record.line("the second process has said yes");
    }

    private static String status(int mgmt) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", mgmt), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("status\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "";
        }
    }
}
