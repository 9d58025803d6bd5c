package kelphollow.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kelphollow.lab.Ports;

/**
 * An instance of the program that serves the platform's protocol, with a configuration file written by this class. Its
 * process can be killed, stopped, terminated, told to reload its file, and restarted at the same address. With an
 * {@link InheritedSocket} it can also be replaced by a second process that runs beside it for a time.
 */
public final class ServeProcess implements AutoCloseable {
    /** The limit of the plan {@link #LIMITED_PLAN}: units per second, and units that may be sent at once. */
    static final double LIMIT_RATE = 20;
    static final double LIMIT_BURST = 36;
    /** Units by which the limit's store may fall below zero. */
    static final double LIMIT_TOLERANCE = 6;
    /** The plan with a limit. */
    static final String LIMITED_PLAN = "basico";

    /** The memory that the deploy file gives a process. */
    private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xms64m", "-Xmx64m", "-Xmn24m",
        "-XX:MaxDirectMemorySize=20m", "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=20m",
        "-XX:TieredStopAtLevel=1", "-Xss512k", "-XX:-UsePerfData");
    private static final String MAIN = "kelphollow.program.Main";
    /** A process that is not ready after this time, in seconds, has failed to start. */
    private static final int READY_TIMEOUT_SECONDS = 60;
    private static final int MANAGEMENT_TIMEOUT_MS = 1_000;
    private static final int POLL_MS = 20;
    private static final String CLASSES = "[{\"name\":\"dump-read\",\"aim\":250,\"deadline\":1200,\"effect\":\"pure\","
        + "\"worth\":2,\"late_share\":0.2},{\"name\":\"dump-write\",\"aim\":500,\"deadline\":3000,"
        + "\"effect\":\"side_effect\",\"worth\":2,\"late_share\":0.1},{\"name\":\"dump-export\",\"aim\":1500,"
        + "\"deadline\":5000,\"effect\":\"pure\",\"worth\":1,\"late_share\":0.3}]";
    private static final String PLANS = "[{\"name\":\"padrao\",\"rate\":400,\"reserve\":320,\"proportion\":1,"
        + "\"value_factor\":0.9},{\"name\":\"" + LIMITED_PLAN + "\",\"rate\":20,\"reserve\":10,\"proportion\":1,"
        + "\"value_factor\":0.8,\"ceiling_rate\":" + LIMIT_RATE + ",\"limit_burst\":" + LIMIT_BURST + ",\"tolerance\":"
        + LIMIT_TOLERANCE + "}]";

    /** How the line of a process's status begins that has the greatest resident size. */
    private static final String PEAK_MEMORY = "VmHWM:";

    private static final Ports PORTS = new Ports();

    private final Path folder;
    private final String name;
    private final int instance;
    private final InetSocketAddress listen;
    private final String settings;
    private final SoakHistory history;
    /** Null if each process opens a listening socket of its own. */
    private final InheritedSocket socket;
    private int starts;
    private InetSocketAddress management;
    private volatile InstanceRun run;
    /** The process that is being replaced, until it has exited; null without an upgrade. */
    private InstanceRun predecessor;
    private volatile boolean serving;

    /** Creates an instance whose history is not kept. */
    public ServeProcess(Path folder, int instance, String settings) throws IOException {
        this(folder, instance, settings, new SoakHistory());
    }

    /** Creates an instance whose processes inherit the clients' socket and whose history is not kept. */
    public ServeProcess(Path folder, int instance, String settings, InheritedSocket socket) throws IOException {
        this(folder, instance, settings, new SoakHistory(), socket);
    }

    /** {@code settings} is the JSON object under that key; configuration files and logs go to the folder. */
    ServeProcess(Path folder, int instance, String settings, SoakHistory history) throws IOException {
        this(folder, instance, settings, history, null);
    }

    /** {@code socket}: the clients' socket that all processes of the instance inherit, or null. */
    ServeProcess(Path folder, int instance, String settings, SoakHistory history, InheritedSocket socket)
        throws IOException {
        this.folder = folder;
        this.name = "n" + instance;
        this.instance = instance;
        this.settings = settings;
        this.history = history;
        this.socket = socket;
        this.listen = socket == null ? new InetSocketAddress("127.0.0.1", PORTS.free()) : socket.address();
    }

    /** Returns the settings for a fleet of this size; with {@code pushed} lists are pushed to an agent, else polled. */
    public static String settings(int instances, boolean pushed) {
        return "{\"me\":0,\"fleet_size\":" + instances + ",\"my_zone\":\"a\",\"tick\":2,\"discovery\":\""
            + (pushed ? "automatic" : "subscribe") + "\",\"ceilings\":{\"cancel\":true,\"most_tries\":3,\"open_cap\":20000,"
            + "\"retry_after\":true,\"max_retry_after\":1000},\"contract\":{\"drain_grace\":250,\"cold_share\":0.18,"
            + "\"cold\":18000,\"tip_multiple\":2,\"fall\":1000,\"ask_every\":10000},\"extra\":{\"unit_mean\":2,"
            + "\"young_limit\":11,\"share_worth\":0.35,\"beyond_share\":0.05},\"grades\":" + PLANS
            + ",\"request_classes\":" + CLASSES + "}";
    }

    /** The address for clients, the same in all runs of the instance. */
    public InetSocketAddress address() {
        return listen;
    }

    /** What the instance's processes have logged so far. */
    String logged() throws IOException {
        return Files.readString(log());
    }

    private Path log() {
        return folder.resolve(name + ".log");
    }

    /** Replaces the file that the program reads at start and on SIGHUP, atomically. */
    public void configure(InetSocketAddress discovery, String known, long seed) throws IOException {
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
        management = socket == null ? null : new InetSocketAddress("127.0.0.1", PORTS.free());
        Path complete = Files.writeString(folder.resolve(name + ".json.part"), "{\"name\":\"" + name
            + "\",\"listen\":\"127.0.0.1:" + listen.getPort() + "\",\"discovery\":\"" + discovery.getAddress()
                .getHostAddress() + ":" + discovery.getPort()
            + (management == null ? "" : "\",\"mgmt\":\"127.0.0.1:" + management.getPort())
            + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":" + limits + ",\"known\":" + known
            + ",\"settings\":" + settings + "}");
        Files.move(complete, folder.resolve(name + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process with assertions enabled, so that a broken invariant is logged. */
    public void start() throws IOException, InterruptedException {
        InstanceRun started = launch();
        run = started;
        SoakThreads.start(name + " readiness", () -> {
            while (run == started && started.isAlive() && !answersPing()) {
                Thread.sleep(POLL_MS);
            }
            serving = run == started && started.isAlive();
        });
    }

    private InstanceRun launch() throws IOException, InterruptedException {
        starts++;
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-ea", "-cp", System.getProperty("java.class.path"), MAIN, "serve"));
        Map<String, String> environment = new HashMap<>();
        environment.put("GW_CONFIG", folder.resolve(name + ".json").toString());
        // The processes of an upgrade share the folder; any other restart begins with an empty one.
        String temporary = socket == null ? name + ".tmp" + starts : name + ".tmp";
        environment.put("TMPDIR", Files.createDirectories(folder.resolve(temporary)).toString());
        if (socket != null) {
            environment.put("GW_SOCKET_FD", "0");
            InheritedSocket.Child child = socket.start(log(), environment, command);
            return new InstanceRun(instance, history, child.handle(), child.exitCode());
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        return new InstanceRun(instance, history, process.toHandle(),
            process.onExit().thenApply(Process::exitValue));
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
            if (System.nanoTime() > until || !run.isAlive()) {
                throw new IllegalStateException(name + " exited or did not answer PING within " + READY_TIMEOUT_SECONDS
                    + " s: " + Files.readString(log()));
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Whether the process has answered a PING and has not been sent SIGTERM. */
    boolean isServing() {
        return serving && run.isAlive();
    }

    // ---------------------------------------------------------------- upgrade

    /** The id of the newest process. */
    long pid() {
        return run.pid();
    }

    /** Starts a second process beside the serving one, by the file last written. */
    public void startSuccessor() throws IOException, InterruptedException {
        InstanceRun next = launch();
        predecessor = run;
        run = next;
    }

    /** Whether a process is being replaced and has not exited. */
    boolean isUpgrading() {
        return predecessor != null;
    }

    /** Whether the newest process reports that it is ready, on its management address. */
    public boolean reportsReady() {
        try (Socket call = new Socket()) {
            call.connect(management, MANAGEMENT_TIMEOUT_MS);
            call.setSoTimeout(MANAGEMENT_TIMEOUT_MS);
            call.getOutputStream().write("status\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new BufferedReader(new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
            return answer != null && answer.startsWith("ACK");
        } catch (IOException e) {
            return false;                  // it does not listen yet
        }
    }

    /** The most memory that the newest process has occupied, in KiB. */
    long peakMemoryKib() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid() + "/status"))) {
            String peak = lines.filter(line -> line.startsWith(PEAK_MEMORY)).findFirst().orElseThrow();
            return Long.parseLong(peak.replaceAll("\\D", ""));
        }
    }

    /** Start of the newest process, on the history's clock. */
    double startedAt() {
        return run.startedAt();
    }

    /** Sends SIGTERM to the process that is being replaced; again if it was sent before. */
    public void terminatePredecessor() {
        predecessor.terminate();
    }

    /** Whether the process that was replaced has exited; it is killed as early as the platform may. */
    public boolean hasPredecessorExited() throws InterruptedException {
        if (predecessor == null || predecessor.hasExited()) {
            predecessor = null;
            return true;
        }
        return false;
    }

    /** Sends a signal by name to the process that is being replaced. */
    void signalPredecessor(String signal) throws IOException, InterruptedException {
        signal(predecessor, signal);
    }

    // ---------------------------------------------------------------- signals

    /** Sends SIGKILL and waits for the exit. */
    public void kill() throws InterruptedException {
        serving = false;
        run.kill();
    }

    /** Sends SIGTERM without waiting. */
    void terminate() {
        serving = false;
        run.terminate();
    }

    /** Whether the process has exited; it is killed when the platform would kill it after SIGTERM. */
    boolean hasExited() throws InterruptedException {
        return run.hasExited();
    }

    /** Sends a signal by name, such as HUP, STOP or CONT. */
    public void signal(String signal) throws IOException, InterruptedException {
        signal(run, signal);
    }

    private static void signal(InstanceRun to, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(to.pid())).start().waitFor();
    }

    /** Sends SIGTERM, unless it was sent before or the process has exited; during an upgrade to the old process. */
    void terminateIfRunning() {
        InstanceRun oldest = predecessor == null ? run : predecessor;
        if (oldest.isAlive() && !oldest.isTerminating()) {
            serving = false;
            oldest.terminate();
        }
    }

    /** Ends an upgrade, waits for the exit, and records it also for a process that exited by itself. */
    void awaitExit() throws InterruptedException {
        while (!hasPredecessorExited()) {
            Thread.sleep(POLL_MS);
        }
        terminateIfRunning();
        while (!hasExited()) {
            Thread.sleep(POLL_MS);
        }
    }

    @Override public void close() throws IOException, InterruptedException {
        if (socket != null) {
            socket.close();
        } else if (run != null && run.isAlive()) {
            run.kill();
        }
    }
}
