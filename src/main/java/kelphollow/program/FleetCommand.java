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
    private static final int PATIENCE = 5_000;

    @Argument(metaVar = "WORD", usage = "status")
    private String word;

    @Option(name = "--config", metaVar = "FILE", required = true, usage = "the instance's file")
    private String file;

    @Option(name = "--json", usage = "print what the instance says as it is")
    private boolean json;

    @Override public int run(PrintStream out, PrintStream err) throws Config.Bad {
        if (!"status".equals(word)) {
            err.println("kelphollow: fleet takes one word: status");
            return Main.USAGE;
        }
        ObjectConfig config = ObjectConfig.read(file);
        if (config.mgmt() == null) {
            throw new Config.Bad("mgmt is missing: the running instance is asked there");
        }
        String answer;
        try {
            answer = ask(config.mgmt(), "fleet status");
        } catch (IOException e) {
            err.println("kelphollow: " + Scheduler.text(config.mgmt()) + " cannot be reached: " + e.getMessage());
            return UNREACHED;
        }
        if (!answer.startsWith("ACK {")) {
            err.println("kelphollow: " + answer);
            return UNREACHED;
        }
        String told = answer.substring(4).strip();
        try {
            out.print(json ? told + "\n" : page((Map<?, ?>) Json.parse(told)));
            return 0;
        } catch (IOException e) {
            err.println("kelphollow: the answer cannot be read: " + e.getMessage());
            return UNREACHED;
        }
    }

    /** One line there, one line back. */
    static String ask(InetSocketAddress at, String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(at, PATIENCE);
            socket.setSoTimeout(PATIENCE);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String page(Map<?, ?> status) {
        StringBuilder page = new StringBuilder(String.format("%-24s %-8s %6s %9s %9s  %s%n", "instance", "state", "epoch",
            "since s", "said s", "says"));
        for (Object row : (List<?>) status.get("members")) {
            Map<?, ?> m = (Map<?, ?>) row;
            page.append(String.format("%-24s %-8s %6s %9s %9s  %s%n", m.get("name"), m.get("state"), whole(m.get("epoch"),
                1),
                whole(m.get("since_ms"), 1_000), whole(m.get("said_ms_ago"), 1_000),
                m.get("says") == null ? "" : m.get("says")));
        }
        page.append("cordoned by the word of others: ").append(status.get("cordoned")).append(System.lineSeparator());
        page.append("silent by the word of others: ").append(status.get("doubted")).append(System.lineSeparator());
        page.append("silent nodes and who tries them: ").append(status.get("probers")).append(System.lineSeparator());
        page.append("shards at which what is worth less gives way: ").append(status.get("gives_way")).append(System
            .lineSeparator());
        if (Boolean.TRUE.equals(status.get("displaced"))) {
            page.append("GIVES WAY: another instance lives under this name in a later life").append(System.lineSeparator());
        }
        return page.append("ill health ").append(whole(status.get("ill_health"), 1)).append(", dropped ")
            .append(status.get("dropped")).append(System.lineSeparator()).toString();
    }

    private static String whole(Object number, double by) {
        return number instanceof Double d ? Long.toString(Math.round(d / by)) : "-";
    }
}
