package kelphollow.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kelphollow.lab.Ports;

/**
 * A process of the program that serves the platform's protocol, with a configuration file written by this class. It can be
 * killed, stopped, terminated, told to reload its file, and restarted at the same address.
 */
public final class ServeProcess implements AutoCloseable {
    private static final String MAIN = "kelphollow.program.Main";
    /** A process that is not ready after this time, in seconds, has failed to start. */
    private static final int READY_TIMEOUT_SECONDS = 60;
    /** The platform kills no sooner than this after SIGTERM: the longest deadline that counts plus 0.7 s. */
    private static final long MIN_KILL_DELAY_MS = 3_700;
    private static final int POLL_MS = 20;
    private static final String CLASSES = "[{\"name\":\"dump-read\",\"aim\":250,\"deadline\":1200,\"effect\":\"pure\","
        + "\"worth\":2,\"late_share\":0.2},{\"name\":\"dump-write\",\"aim\":500,\"deadline\":3000,"
        + "\"effect\":\"side_effect\",\"worth\":2,\"late_share\":0.1},{\"name\":\"dump-export\",\"aim\":1500,"
        + "\"deadline\":5000,\"effect\":\"pure\",\"worth\":1,\"late_share\":0.3}]";

    private static final Ports PORTS = new Ports();

    private final Path folder;
    private final String name;
    private final int instance;
    private final InetSocketAddress listen;
    private final String settings;
    private final SoakHistory history;
    private Process process;
    private int starts;
    private double startedAt;
    private double termAt;
    private volatile boolean serving;
    private boolean exitRecorded;

    /** Creates an instance whose history is not kept. */
    public ServeProcess(Path folder, int instance, String settings) throws IOException {
        this(folder, instance, settings, new SoakHistory());
    }

    /** {@code settings} is the JSON object under that key; configuration files and logs go to the folder. */
    ServeProcess(Path folder, int instance, String settings, SoakHistory history) throws IOException {
        this.folder = folder;
        this.name = "n" + instance;
        this.instance = instance;
        this.settings = settings;
        this.history = history;
        this.listen = new InetSocketAddress("127.0.0.1", PORTS.free());
    }

    /** Returns the settings for a fleet of this size; with {@code pushed} lists are pushed to an agent, else polled. */
    public static String settings(int instances, boolean pushed) {
        return "{\"me\":0,\"fleet_size\":" + instances + ",\"my_zone\":\"a\",\"tick\":2,\"discovery\":\""
            + (pushed ? "automatic" : "subscribe") + "\",\"ceilings\":{\"cancel\":true,\"most_tries\":3,\"open_cap\":20000,"
            + "\"retry_after\":true,\"max_retry_after\":1000},\"contract\":{\"drain_grace\":250,\"cold_share\":0.18,"
            + "\"cold\":18000,\"tip_multiple\":2,\"fall\":1000,\"ask_every\":10000},\"extra\":{\"unit_mean\":2,"
            + "\"young_limit\":11,\"share_worth\":0.35,\"beyond_share\":0.05},\"grades\":[{\"name\":\"padrao\",\"rate\":400,"
            + "\"reserve\":320,\"proportion\":1,\"value_factor\":0.9}],\"request_classes\":" + CLASSES + "}";
    }

    /** The address for clients, the same in all runs of the instance. */
    public InetSocketAddress address() {
        return listen;
    }

    private Path log() {
        return folder.resolve(name + ".log");
    }

    /** Replaces the file that the program reads at start and on SIGHUP, atomically. */
    public void configure(InetSocketAddress discovery, String known, long seed) throws IOException {
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
        Path complete = Files.writeString(folder.resolve(name + ".json.part"), "{\"name\":\"" + name
            + "\",\"listen\":\"127.0.0.1:" + listen.getPort() + "\",\"discovery\":\"127.0.0.1:" + discovery.getPort()
            + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":" + limits + ",\"known\":" + known
            + ",\"settings\":" + settings + "}");
        Files.move(complete, folder.resolve(name + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process with assertions enabled, so that a broken invariant is logged. */
    public void start() throws IOException {
        starts++;
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-Xmx64m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-ea", "-cp", System.getProperty("java.class.path"),
            MAIN, "serve").redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        Map<String, String> environment = builder.environment();
        environment.put("GW_CONFIG", folder.resolve(name + ".json").toString());
        environment.put("TMPDIR", Files.createDirectories(folder.resolve(name + ".tmp" + starts)).toString());
        exitRecorded = false;
        startedAt = history.now();
        termAt = Double.POSITIVE_INFINITY;
        Process started = builder.start();
        process = started;
        SoakThreads.start(name + " readiness", () -> {
            while (process == started && started.isAlive() && !answersPing()) {
                Thread.sleep(POLL_MS);
            }
            serving = process == started && started.isAlive();
        });
    }

    private boolean answersPing() {
        try (RespClient client = new RespClient(listen)) {
            client.send("*1\r\n$4\r\nPING\r\n");
            return client.answer().equals("+PONG");
        } catch (IOException e) {
            return false;                  // the process does not listen yet
        }
    }

    /** Waits until the process has answered a PING; throws if it exits or takes longer than a minute. */
    public void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (!serving) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IllegalStateException(name + " exited or did not answer PING within " + READY_TIMEOUT_SECONDS
                    + " s: " + Files.readString(log()));
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Whether the process has answered a PING and has not been sent SIGTERM. */
    boolean isServing() {
        return serving && process.isAlive();
    }

    /** Sends SIGKILL and waits for the exit. */
    public void kill() throws InterruptedException {
        serving = false;
        process.destroyForcibly().waitFor();
        recordExit(true);
    }

    /** Records the exit of the instance's current run, once. */
    private void recordExit(boolean killed) {
        if (!exitRecorded) {
            exitRecorded = true;
            history.add(new SoakHistory.Incarnation(instance, startedAt, termAt, history.now(), killed,
                process.exitValue()));
        }
    }

    /** Sends SIGTERM without waiting. */
    void terminate() {
        serving = false;
        termAt = history.now();
        process.destroy();
    }

    /** Whether the process has exited; it is killed when the platform would kill it after SIGTERM. */
    boolean hasExited() throws InterruptedException {
        if (!process.isAlive()) {
            recordExit(false);
            return true;
        }
        if (history.now() - termAt > MIN_KILL_DELAY_MS) {
            kill();
            return true;
        }
        return false;
    }

    /** Sends a signal by name, such as HUP, STOP or CONT. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Sends SIGTERM, unless it was sent before or the process has exited. */
    void terminateIfRunning() {
        if (process.isAlive() && termAt == Double.POSITIVE_INFINITY) {
            terminate();
        }
    }

    /** Waits for the exit, and records it also for a process that exited by itself. */
    void awaitExit() throws InterruptedException {
        while (!hasExited()) {
            Thread.sleep(POLL_MS);
        }
    }

    @Override public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
