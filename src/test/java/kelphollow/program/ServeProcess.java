package kelphollow.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The program itself as a process of its own on the platform's protocol: {@code serve} with a file that the test writes. It
 * can be killed, stopped, told to end or to read its file again, and started anew under the same address.
 */
final class ServeProcess implements AutoCloseable {
    private final Path folder;
    private final String name;
    private final InetSocketAddress listen;
    private final String settings;
    private Process process;
    private int starts;

    /** {@code settings} is the JSON object of that name; files and logs go into the folder. */
    ServeProcess(Path folder, String name, String settings) throws IOException {
        this.folder = folder;
        this.name = name;
        this.settings = settings;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listen = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
    }

    /** The example's settings in the mode in which lists are asked for, as one of so many instances. */
    static String settings(int fleetSize) throws IOException {
        String text = Files.readString(Path.of("deploy/objects.json"));
        int at = text.indexOf("\"settings\"");
        return text.substring(text.indexOf('{', at), text.lastIndexOf('}')).replace("\"automatic\"", "\"subscribe\"")
            .replace("\"fleet_size\": 1,", "\"fleet_size\": " + fleetSize + ",")
            .replace("\"drain_grace\": 250.0", "\"drain_grace\": 250.0, \"ask_every\": 10000.0");
    }

    /** One row of a node list. */
    static String row(String host, InetSocketAddress dial, int block, String health, long born) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + dial.getPort()
            + "\",\"site\":\"a\",\"class\":\"m\",\"block\":" + block
            + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + born + "}";
    }

    /** A node list in discovery's form. */
    static String list(long version, boolean whole, List<String> rows) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", rows) + "]}";
    }

    InetSocketAddress address() {
        return listen;
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    /** Writes the file that the program reads at its start and at SIGHUP. */
    void configure(InetSocketAddress discovery, String known, long seed) throws IOException {
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
        Path whole = Files.writeString(folder.resolve(name + ".json.part"), "{\"name\":\"" + name
            + "\",\"listen\":\"127.0.0.1:" + listen.getPort() + "\",\"discovery\":\"127.0.0.1:" + discovery.getPort()
            + "\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":" + limits + ",\"known\":" + known
            + ",\"settings\":" + settings + "}");
        Files.move(whole, folder.resolve(name + ".json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts it; assertions are on, so that a broken invariant ends what it breaks. */
    ServeProcess start() throws IOException {
        starts++;
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-Xmx64m", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-ea", "-cp", System.getProperty("java.class.path"),
            Main.class.getName(), "serve").redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        Map<String, String> environment = builder.environment();
        environment.put("GW_CONFIG", folder.resolve(name + ".json").toString());
        environment.put("TMPDIR", Files.createDirectories(folder.resolve(name + ".tmp" + starts)).toString());
        process = builder.start();
        return this;
    }

    /** Waits until it has answered a client's PING; throws if it ends or takes longer than a minute. */
    ServeProcess awaitReady() throws Exception {
        long until = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
        while (System.nanoTime() < until && process.isAlive()) {
            try (RespClient client = new RespClient(listen)) {
                client.send("*1\r\n$4\r\nPING\r\n");
                if ("+PONG".equals(client.line())) {
                    return this;
                }
            } catch (IOException e) {
                Thread.sleep(20);          // not listening yet; nothing is proved by the length of this pause
            }
        }
        throw new IllegalStateException(name + " is not ready: " + Files.readString(log()));
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** SIGTERM. */
    void term() {
        process.destroy();
    }

    /** The exit code, or -1 if it has not ended within so many seconds. */
    int awaitEnd(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    /** Sends a signal by name, such as HUP, STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
