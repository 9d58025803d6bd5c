package kelphollow.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kelphollow.protocol.json.Json;

/** One process of the program with its own folder and ports. Only the thread that runs the scenario may use it. */
final class InstanceProcess {
    /** State of the process; {@code STOPPED} is after SIGSTOP. */
    enum State { DOWN, UP, STOPPED }

    private static final int SHUTDOWN_SECONDS = 10;
    private static final int STATUS_TIMEOUT_MS = 1_000;
    // A starved instance runs for a tenth of the time, in cycles that are short compared with a membership round.
    private static final long STARVATION_STOPPED_MS = 90;
    private static final long STARVATION_RUNNING_MS = 10;
    private static final int CRASH_LOG_LINES = 3;

    private final String name;
    private final Path folder;
    private final History history;
    private final int clientPort;
    private final int managementPort;
    private final int peerPort;
    private ScheduledFuture<?> starvation;
    private Process process;
    private State state = State.DOWN;
    private int eventsRead;

    /** Creates {@code folder}, which takes the files of the instance, and reserves its ports. */
    InstanceProcess(String name, Path folder, History history, Ports ports) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.history = history;
        this.clientPort = ports.free();
        this.managementPort = ports.free();
        this.peerPort = ports.free();
    }

    String name() {
        return name;
    }

    int clientPort() {
        return clientPort;
    }

    int managementPort() {
        return managementPort;
    }

    int peerPort() {
        return peerPort;
    }

    Path storeFolder() {
        return folder.resolve("store");
    }

    Path eventsFile() {
        return folder.resolve("events.jsonl");
    }

    private Path configFile() {
        return folder.resolve("config.json");
    }

    private Path logFile() {
        return folder.resolve("log");
    }

    State state() {
        return state;
    }

    void configure(Map<String, Object> config) throws IOException {
        Files.writeString(configFile(), History.json(config));
    }

    // ---------------------------------------------------------------- starting, stopping, starving

    /** Starts the process with its wall clock shifted by {@code clockOffset} milliseconds. */
    void start(double clockOffset) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx48m", "-Dkelphollow.clock.off.ms=" + (long) clockOffset, "-cp",
            System.getProperty("java.class.path"), "kelphollow.program.Main", "serve", "--config", configFile().toString())
            .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("TMPDIR", folder.toString());
        history.add(HistoryLine.LAB, "start", "instance", name, "clock_off", clockOffset);
        process = builder.start();
        state = State.UP;
    }

    /** Sends SIGKILL unless the instance is down. */
    void kill() {
        if (state != State.DOWN) {
            history.add(HistoryLine.LAB, "kill", "instance", name);
            destroy();
            state = State.DOWN;
        }
    }

    /** Kills the process in any state and waits for its exit. */
    void destroy() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }

    /** Sends SIGTERM and waits for the exit, for a limited time; after it the process is killed. */
    void terminate() throws InterruptedException {
        history.add(HistoryLine.LAB, "term", "instance", name);
        process.destroy();
        boolean ended = process.waitFor(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        history.add(HistoryLine.LAB, "ended", "instance", name, "code", ended ? process.exitValue() : -1);
        if (!ended) {
            destroy();
        }
        state = State.DOWN;
    }

    /** Kills the process and starts it again; with {@code lostStore} its store is deleted in between. */
    void restart(boolean lostStore, double clockOffset) throws IOException {
        kill();
        if (lostStore) {
            try (Stream<Path> files = Files.walk(storeFolder())) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        start(clockOffset);
    }

    /** Sends SIGSTOP. */
    void stop() throws IOException {
        signal("STOP", "stop", State.STOPPED);
    }

    /** Sends SIGCONT. */
    void resume() throws IOException {
        signal("CONT", "cont", State.UP);
    }

    private void signal(String signal, String historyWord, State next) throws IOException {
        history.add(HistoryLine.LAB, historyWord, "instance", name);
        int code = send(signal);
        if (code != 0) {
            throw new IOException("kill -" + signal + " for instance " + name + " failed with exit code " + code);
        }
        state = next;
    }

    private int send(String signal) {
        try {
            return new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Takes most processor time from the instance by stopping and resuming it on a thread of {@code scheduler}. */
    void starve(ScheduledExecutorService scheduler) {
        history.add(HistoryLine.LAB, "starve", "instance", name);
        starvation = scheduler.scheduleWithFixedDelay(() -> {
            send("STOP");
            sleep(STARVATION_STOPPED_MS);
            send("CONT");
        }, 0, STARVATION_RUNNING_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends the starvation. */
    void endStarvation() {
        history.add(HistoryLine.LAB, "feed", "instance", name);
        if (starvation != null) {
            starvation.cancel(false);
            starvation = null;
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---------------------------------------------------------------- observation

    /** Copies new events of the instance into the history, and records a crash if the process has exited by itself. */
    void collectEvents() throws IOException {
        if (Files.exists(eventsFile())) {
            String text = Files.readString(eventsFile());
            int end = Math.max(text.lastIndexOf('\n') + 1, eventsRead);
            for (String line : text.substring(eventsRead, end).lines().toList()) {
                Map<?, ?> event = (Map<?, ?>) Json.parse(line);
                history.add(name, "event", "event", event.get("event"), "of", event.get("instance"),
                    "epoch", event.get("epoch"), "why", event.get("why"), "nodes", event.get("nodes"));
            }
            eventsRead = end;
        }
        if (state != State.DOWN && !process.isAlive()) {
            List<String> log = Files.readAllLines(logFile());
            history.add(name, "crashed", "code", process.exitValue(),
                "log", log.subList(Math.max(0, log.size() - CRASH_LOG_LINES), log.size()));
            state = State.DOWN;
        }
    }

    /** Returns the answer to {@code fleet status}, or null if there is none. */
    Map<?, ?> fleetStatus() {
        try (Socket socket = new Socket("127.0.0.1", managementPort)) {
            socket.setSoTimeout(STATUS_TIMEOUT_MS);
            socket.getOutputStream().write("fleet status\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.startsWith("ACK ") ? (Map<?, ?>) Json.parse(answer.substring(4).strip()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Processor time that the process has used, in milliseconds. */
    long processorTime() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /** Time since the start of the process, in milliseconds. */
    long upTime() {
        return process.info().startInstant().map(start -> Duration.between(start, Instant.now()).toMillis()).orElse(0L);
    }
}
