package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's discovery: the whole list, and watches on changes. */
final class Discovery {
    private static final Pattern WATCH = Pattern.compile("index=(-?\\d+)&wait=(\\d+)");
    private final Listener listener;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changed = new LinkedHashMap<>();
    private long version = 1;

    Discovery() throws IOException {
        listener = new Listener("discovery", this::serve);
    }

    String text() {
        return listener.text();
    }

    /** Tells of a storage node, or of a change to it. */
    synchronized void put(String host, String dial, int block, String health, long bornMs) {
        version++;
        entries.put(host, String.format("{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"hall-a\",\"class\":\"std-2c\","
            + "\"block\":%d,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}", host, dial, block, health, bornMs));
        changed.put(host, version);
        Record.line("discovery: version %d, %s %s", version, host, health);
        notifyAll();
    }

    synchronized String list() {
        return list(-1);
    }

    private String list(long after) {
        StringJoiner rows = new StringJoiner(",", "[", "]");
        entries.forEach((host, row) -> {
            if (changed.get(host) > after && (after >= 0 || !row.contains("\"gone\""))) {
                rows.add(row);
            }
        });
        return "{\"seq\":" + version + ",\"whole\":" + (after < 0) + ",\"hosts\":" + rows + "}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first;
        while ((first = in.readLine()) != null) {
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                // a header
            }
            socket.getOutputStream().write(Http.response(200, "Content-Type: application/json\r\n",
                answer(first).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private synchronized String answer(String request) throws InterruptedException {
        Matcher watch = WATCH.matcher(request);
        if (!watch.find()) {
            return list(-1);
        }
        long index = Long.parseLong(watch.group(1));
        long until = System.nanoTime() + Long.parseLong(watch.group(2)) * 1_000_000;
        while (version <= index) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        return list(index);
    }
}
