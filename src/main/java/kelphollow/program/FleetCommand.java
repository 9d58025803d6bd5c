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

/** {@code fleet status}: prints the fleet's status as the running instance reports it on its management address. */
public final class FleetCommand implements Main.Command {
    /** Exit code when the instance cannot be reached, is in no fleet, or answers with no valid status. */
    static final int UNREACHABLE = 3;
    private static final int TIMEOUT_MS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String STATUS_CALL = "fleet status";
    private static final String ACK_PREFIX = "ACK ";

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
            throw new ConfigurationException("mgmt is missing: the status is read from that address");
        }
        String answer;
        try {
            answer = call(management, STATUS_CALL);
        } catch (IOException e) {
            err.println("kelphollow: " + Addresses.text(management) + " cannot be reached: " + e.getMessage());
            return UNREACHABLE;
        }
        if (!answer.startsWith(ACK_PREFIX + "{")) {
            err.println("kelphollow: " + answer);
            return UNREACHABLE;
        }
        String status = answer.substring(ACK_PREFIX.length()).strip();
        try {
            out.print(json ? status + "\n" : formatStatus((Map<?, ?>) Json.parse(status)));
            return 0;
        } catch (IOException e) {
            err.println("kelphollow: the answer cannot be read: " + e.getMessage());
            return UNREACHABLE;
        }
    }

    /** Sends one line and reads the answer until the instance closes the connection. */
    private static String call(InetSocketAddress address, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String formatStatus(Map<?, ?> status) {
        String newline = System.lineSeparator();
        StringBuilder table = new StringBuilder(String.format("%-24s %-8s %6s %9s %9s  %s%n", "instance", "state", "epoch",
            "since s", "said s", "says"));
        for (Object row : (List<?>) status.get("members")) {
            table.append(formatMember((Map<?, ?>) row));
        }
        table.append("cordoned by the word of others: ").append(status.get("cordoned")).append(newline);
        table.append("silent by the word of others: ").append(status.get("doubted")).append(newline);
        table.append("silent nodes and who tries them: ").append(status.get("probers")).append(newline);
        table.append("shards at which what is worth less gives way: ").append(status.get("gives_way")).append(newline);
        if (Boolean.TRUE.equals(status.get("displaced"))) {
            table.append("GIVES WAY: another instance lives under this name in a later life").append(newline);
        }
        return table.append("ill health ").append(rounded(status.get("ill_health"), 1)).append(", dropped ")
            .append(status.get("dropped")).append(newline).toString();
    }

    private static String formatMember(Map<?, ?> member) {
        return String.format("%-24s %-8s %6s %9s %9s  %s%n", member.get("name"), member.get("state"),
            rounded(member.get("epoch"), 1), rounded(member.get("since_ms"), MILLIS_PER_SECOND),
            rounded(member.get("said_ms_ago"), MILLIS_PER_SECOND), member.get("says") == null ? "" : member.get("says"));
    }

    private static String rounded(Object number, double divisor) {
        return number instanceof Double value ? Long.toString(Math.round(value / divisor)) : "-";
    }
}
