package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for discovery: answers the whole list, and holds watches until something changes or the wait is over. */
final class Discovery implements AutoCloseable {
    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");

    private final ServerSocket listener;
    private final Record record;
    private long version = 1;
    private String hosts = "[]";

    Discovery(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", () -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("discovery call", () -> serve(socket));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    /** One entry of the list. */
    static String entry(String host, int port, int block, String health, long bornMs) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"hall-a\",\"class\":\"std-2c\","
            + "\"block\":" + block + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    /** Replaces the list. */
    synchronized void list(List<String> entries) {
        version++;
        hosts = "[" + String.join(",", entries) + "]";
        record.add("discovery: version %d %s", version, hosts);
        notifyAll();
    }

    /** The list in the form of the configuration's key known. */
    synchronized String known() {
        return body(true);
    }

    private String body(boolean whole) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":" + (whole ? hosts : "[]") + "}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String request; (request = in.readLine()) != null;) {
                for (String header; (header = in.readLine()) != null && !header.isEmpty();) {
                    // headers are not used
                }
                byte[] body = answer(request).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n" + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private synchronized String answer(String request) throws InterruptedException {
        Matcher watch = WATCH.matcher(request);
        if (!watch.find()) {
            return body(true);
        }
        long index = Long.parseLong(watch.group(1));
        long until = System.nanoTime() + Long.parseLong(watch.group(2)) * 1_000_000;
        for (long left; version <= index && (left = until - System.nanoTime()) > 0;) {
            wait(left / 1_000_000 + 1);
        }
        return body(version > index);
    }

    @Override public void close() throws IOException {
        listener.close();
    }
}
