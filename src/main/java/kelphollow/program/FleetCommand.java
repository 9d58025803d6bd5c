package kelphollow.program;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.json.Json;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** {@code fleet status}: asks the running instance, over its management line, how it sees the fleet. */
public final class FleetCommand implements Main.Command {
    /** The exit code when the instance cannot be reached, or is in no fleet. */
    static final int UNREACHED = 3;
    private static final int TIMEOUT_MS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String CALL = "fleet status";
    private static final String ACKNOWLEDGED = "ACK ";

    @Argument(metaVar = "WORD", usage = "status")
    private String word;

    @Option(name = "--config", metaVar = "FILE", required = true, usage = "the instance's file")
    private String file;

    @Option(name = "--json", usage = "print what the instance says as it is")
    private boolean json;

    @Override public int run(PrintStream out, PrintStream err) throws ConfigurationException {
        if (!"status".equals(word)) {
            err.println("kelphollow: fleet takes one word: status");
            return Main.USAGE;
        }
        InetSocketAddress management = ObjectConfig.read(file).management();
        if (management == null) {
            throw new ConfigurationException("mgmt is missing: the running instance is asked there");
        }
        String answer;
        try {
            answer = call(management, CALL);
        } catch (IOException e) {
            err.println("kelphollow: " + Addresses.text(management) + " cannot be reached: " + e.getMessage());
            return UNREACHED;
        }
        if (!answer.startsWith(ACKNOWLEDGED + "{")) {
            err.println("kelphollow: " + answer);
            return UNREACHED;
        }
        String status = answer.substring(ACKNOWLEDGED.length()).strip();
        try {
            out.print(json ? status + "\n" : page((Map<?, ?>) Json.parse(status)));
            return 0;
        } catch (IOException e) {
            err.println("kelphollow: the answer cannot be read: " + e.getMessage());
            return UNREACHED;
        }
    }

    /** One line there, one line back. */
    private static String call(InetSocketAddress address, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String page(Map<?, ?> status) {
        String end = System.lineSeparator();
        StringBuilder page = new StringBuilder(String.format("%-24s %-8s %6s %9s %9s  %s%n", "instance", "state", "epoch",
            "since s", "said s", "says"));
        for (Object row : (List<?>) status.get("members")) {
            page.append(member((Map<?, ?>) row));
        }
        page.append("cordoned by the word of others: ").append(status.get("cordoned")).append(end);
        page.append("silent by the word of others: ").append(status.get("doubted")).append(end);
        page.append("silent nodes and who tries them: ").append(status.get("probers")).append(end);
        page.append("shards at which what is worth less gives way: ").append(status.get("gives_way")).append(end);
        if (Boolean.TRUE.equals(status.get("displaced"))) {
            page.append("GIVES WAY: another instance lives under this name in a later life").append(end);
        }
        return page.append("ill health ").append(rounded(status.get("ill_health"), 1)).append(", dropped ")
            .append(status.get("dropped")).append(end).toString();
    }

    private static String member(Map<?, ?> member) {
        return String.format("%-24s %-8s %6s %9s %9s  %s%n", member.get("name"), member.get("state"),
            rounded(member.get("epoch"), 1), rounded(member.get("since_ms"), MILLIS_PER_SECOND),
            rounded(member.get("said_ms_ago"), MILLIS_PER_SECOND), member.get("says") == null ? "" : member.get("says"));
    }

    private static String rounded(Object number, double divisor) {
        return number instanceof Double value ? Long.toString(Math.round(value / divisor)) : "-";
    }
}
