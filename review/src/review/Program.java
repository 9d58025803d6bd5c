package review;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the program, started by the line {@code run} of the deploy file. */
final class Program implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final String name;
    private final Record record;
    private final Path folder;
    private Process process;

    /** {@code folder} holds the configuration, the log and TMPDIR. */
    Program(String name, Path folder, Record record) {
        this.name = name;
        this.folder = folder;
        this.record = record;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the command of the deploy file with further arguments, from the project's root. */
    void start(Path root, String arguments, Map<String, String> environment) throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1) + " " + arguments)
            .directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve(name + ".tmp")).toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));   // also when the test itself is ended
        record.add("run: %s started, process %d, %s", name, process.pid(), arguments);
    }

    /** Waits until the port accepts connections. */
    void awaitPort(int port, long millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (true) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                record.add("run: %s listens", name);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > until || !process.isAlive()) {
                    throw new IOException(name + " does not listen: " + log());
                }
                Thread.sleep(50);
            }
        }
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal such as STOP, CONT, HUP, TERM or KILL. */
    void signal(String signal) throws IOException, InterruptedException {
        record.add("run: SIG%s to %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
