package kelphollow.program;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program in a process of its own that has as little memory as the deploy file gives. */
final class SmallProcess implements AutoCloseable {
    private static final Pattern SERVES_AT = Pattern.compile("serves at 127\\.0\\.0\\.1:(\\d+)");

    private final Process process;
    private final BufferedReader log;
    final InetSocketAddress address;

    /**
     * Starts the program and waits until it serves.
     *
     * @param folder its temporary folder
     * @param config the platform's configuration file
     * @param arguments what follows {@code serve} on the command line
     */
    SmallProcess(Path folder, Path config, String... arguments) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-Xmx64m", "-Xmn24m", "-XX:MaxDirectMemorySize=20m", "-XX:TieredStopAtLevel=1", "-cp",
            System.getProperty("java.class.path"), Main.class.getName(), "serve").redirectErrorStream(true);
        builder.command().addAll(List.of(arguments));
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        log = process.inputReader();
        address = awaitAddress();
        discardLog();
    }

    private InetSocketAddress awaitAddress() throws IOException {
        for (String line; (line = log.readLine()) != null;) {
            Matcher at = SERVES_AT.matcher(line);
            if (at.find()) {
                return new InetSocketAddress("127.0.0.1", Integer.parseInt(at.group(1)));
            }
        }
        return fail("the program ended before it served");
    }

    /** Reads the log to its end, so that the program never waits for a full pipe. */
    private void discardLog() {
        Thread reader = new Thread(() -> log.lines().forEach(line -> {}));
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends a signal by name. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
