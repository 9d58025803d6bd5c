package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the program, started by the line {@code run} of the deploy file. */
final class Scheduler {
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Scheduler::killAll));
    }

    private final Process process;
    final Path log;

    /**
     * Starts the program in the project's root; {@code more} follows the command of the deploy file. With GW_SOCKET_FD in its
     * environment it inherits this process's descriptor 0.
     */
    Scheduler(String name, String more, Map<String, String> environment, Path folder) throws IOException {
        Path root = Path.of(System.getProperty("review.root"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line run");
        }
        log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\"") + more);
        builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.redirectInput(environment.containsKey("GW_SOCKET_FD") ? ProcessBuilder.Redirect.INHERIT
            : ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().putAll(environment);
        process = builder.start();
        STARTED.add(process);
        Record.line("process %s started, pid %d", name, process.pid());
    }

    /** Ends all processes that were started. */
    static void killAll() {
        for (Process process : STARTED) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** Sends a signal by its name, such as HUP. */
    void signal(String name) throws IOException, InterruptedException {
        Record.line("signal %s to pid %d", name, process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until the program answers PING; false if it does not within 30 s. */
    boolean awaitPong(InetSocketAddress at) throws InterruptedException {
        return await(at, "*1\r\n$4\r\nPING\r\n", "+PONG");
    }

    /** Waits until the program accepts HTTP connections; false if it does not within 30 s. */
    boolean awaitHttp(InetSocketAddress at) throws InterruptedException {
        return await(at, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP");
    }

    private boolean await(InetSocketAddress at, String question, String answer) throws InterruptedException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(at, 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write(question.getBytes("US-ASCII"));
                InputStream in = socket.getInputStream();
                if (new String(in.readNBytes(answer.length()), "US-ASCII").equals(answer)) {
                    Record.line("the program at %s is ready", at);
                    return true;
                }
            } catch (IOException e) {
                // not yet
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** A free loopback port. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }
}
