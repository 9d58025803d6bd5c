package kelphollow.scale;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.peer.Traffic;

/**
 * One process of the program with its own folder and management port, and its traffic and resource use over the
 * measurement. Confined to the run's thread, except for {@link #close}.
 */
final class RealInstance implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    private static final int TIMEOUT_MILLIS = 5_000;
    /** How many of the last log lines the error for a process that exited by itself quotes. */
    private static final int LOG_LINES = 3;
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;
    private static final String REPLY_PREFIX = "ACK ";

    private static final double NANOS_PER_SECOND = 1e9;

    /** Counters of a process at one moment; {@code nanos} is of {@link System#nanoTime}. */
    private record Status(long nanos, TrafficCount traffic, Duration cpu, double residentMegabytes, Map<?, ?> fleet) {}

    private final int index;
    private final Path folder;
    private final int managementPort;
    private volatile Process process;
    private Status atBegin;
    private Status atEnd;

    RealInstance(int index, Path folder, int managementPort) {
        this.index = index;
        this.folder = folder;
        this.managementPort = managementPort;
    }

    int index() {
        return index;
    }

    String name() {
        return ScaleScenario.nameOf(index);
    }

    Path folder() {
        return folder;
    }

    int managementPort() {
        return managementPort;
    }

    /** Returns the path of the process's configuration file. */
    Path configFile() {
        return folder.resolve("config.json");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx96m", "-cp", System.getProperty("java.class.path"),
            "kelphollow.program.Main", "serve", "--config", configFile().toString())
            .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
    }

    /** Returns whether the process was started and has exited. */
    boolean hasEnded() {
        return process != null && !process.isAlive();
    }

    /** Takes the counters at the start of the measurement. */
    void begin() throws IOException {
        atBegin = status();
    }

    /** Takes the counters at the end of the measurement. */
    void end() throws IOException {
        atEnd = status();
    }

    /** Returns what the process sent and received during the measurement. */
    TrafficCount traffic() {
        return atEnd.traffic.since(atBegin.traffic);
    }

    /** Returns the length of the measurement in seconds. */
    double seconds() {
        return (atEnd.nanos - atBegin.nanos) / NANOS_PER_SECOND;
    }

    /** Returns the processor seconds used during the measurement. */
    double processorSeconds() {
        return atEnd.cpu.minus(atBegin.cpu).toNanos() / NANOS_PER_SECOND;
    }

    /** Returns the resident memory at the end of the measurement; 0 where the system does not report it. */
    double residentMegabytes() {
        return atEnd.residentMegabytes;
    }

    /** Returns the reply to {@code fleet status} at the end of the measurement. */
    Map<?, ?> fleet() {
        return atEnd.fleet;
    }

    private Status status() throws IOException {
        if (!process.isAlive()) {
            List<String> log = Files.readAllLines(folder.resolve("log"));
            throw new IOException("process of " + ScaleScenario.nameOf(index) + " exited unexpectedly; end of its log: "
                + String.join(" / ", log.subList(Math.max(0, log.size() - LOG_LINES), log.size())));
        }
        Map<?, ?> fleet = fleetStatus(managementPort);
        TrafficCount count = new TrafficCount();
        Map<?, ?> traffic = (Map<?, ?>) fleet.get("traffic");
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            List<?> figures = (List<?>) traffic.get(kind.name().toLowerCase(Locale.ROOT));
            count.set(kind, figures.stream().mapToLong(figure -> ((Double) figure).longValue()).toArray());
        }
        return new Status(System.nanoTime(), count, process.info().totalCpuDuration().orElse(Duration.ZERO),
            residentMegabytes(process.pid()), fleet);
    }

    private static Map<?, ?> fleetStatus(int port) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write("fleet status\n".getBytes(StandardCharsets.US_ASCII));
            String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!reply.startsWith(REPLY_PREFIX + "{")) {
                throw new IOException("'fleet status' on port " + port + " returned '" + reply
                    + "', expected ACK and a JSON object");
            }
            return (Map<?, ?>) Json.parse(reply.substring(REPLY_PREFIX.length()).strip());
        }
    }

    /** Resident memory of a process in megabytes; 0 where the system does not report it. */
    private static double residentMegabytes(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE;
                }
            }
        } catch (IOException e) {
            // reported as 0
        }
        return 0;
    }

    /** Kills the process and waits for its exit. */
    @Override public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
