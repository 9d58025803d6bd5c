package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** Sub-commands, options and exit codes of the command line, and the field names of its output that scripts parse. */
class CommandNamesTest {
    private static final int UNREACHABLE_EXIT_CODE = 3;
    private static final int SUCCESS_EXIT_CODE = 0;
    /** How long the fake instance waits for a connection and for its request line, in milliseconds. */
    private static final int ACCEPT_TIMEOUT_MS = 2_000;
    private static final Pattern FIELD = Pattern.compile("([a-z_]+)=");

    @TempDir
    Path folder;

    /** Runs one command line; returns its exit code, standard output and standard error. */
    static String[] run(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(List.of(words), new PrintStream(out), new PrintStream(err));
        return new String[] {String.valueOf(code), out.toString(), err.toString()};
    }

    // ---------------------------------------------------------------- commands and options

    @Test void commandsAndOptionsAreThoseRecorded() throws Exception {
        SortedSet<String> words = new TreeSet<>();
        collect(Main.class, "", words);
        RecordedNames.assertRecorded("commands.txt", words);
    }

    private static void collect(Class<?> command, String line, SortedSet<String> words) {
        for (Class<?> type = command; type != null; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                Option option = field.getAnnotation(Option.class);
                if (option != null) {
                    List<String> names = new ArrayList<>(Arrays.asList(option.aliases()));
                    names.add(option.name());
                    names.forEach(name -> words.add(line + name + (field.getType() == boolean.class ? "" : " VALUE")
                        + (option.required() ? " required" : "")));
                }
                Argument argument = field.getAnnotation(Argument.class);
                SubCommands commands = field.getAnnotation(SubCommands.class);
                if (commands != null) {
                    for (SubCommand sub : commands.value()) {
                        words.add(line + sub.name());
                        collect(sub.impl(), line + sub.name() + " ", words);
                    }
                } else if (argument != null) {
                    words.add(line + "(argument " + argument.index() + ")" + (argument.required() ? " required" : ""));
                }
            }
        }
    }

    /** Each line of exit-codes.txt holds the exit code and the arguments of a command line. */
    @Test void exitCodesAreThoseRecorded() throws Exception {
        for (String line : RecordedNames.read("exit-codes.txt")) {
            String[] words = line.split(" ");
            String[] result = run(Arrays.copyOfRange(words, 1, words.length));
            assertEquals(words[0], result[0], line + ": " + result[1] + result[2]);
        }
        assertEquals("2", run()[0], "no command at all");
    }

    @Test void theUsageIsTheOneRecorded() throws Exception {
        List<String> lines = run("no-such-command")[2].lines().toList();
        assertEquals(RecordedNames.lines("usage.txt"), lines.subList(lines.size() - 1, lines.size()));
    }

    // ---------------------------------------------------------------- output for scripts

    @Test void fieldsOfTheStoresToolsAreThoseRecorded() throws Exception {
        String first = Files.createDirectory(folder.resolve("first")).toString();
        String second = Files.createDirectory(folder.resolve("second")).toString();
        SortedSet<String> fields = new TreeSet<>();
        for (String tool : List.of("compact", "inspect", "verify", "repair")) {
            String[] result = run("store", tool, first, second);
            assertEquals("0", result[0], tool + ": " + result[2]);
            for (String line : result[1].lines().toList()) {
                String kind = line.substring(0, line.indexOf('=')).contains(" ") ? line.split(" ")[0] + " " : "";
                for (Matcher field = FIELD.matcher(line); field.find();) {
                    fields.add(tool + " " + kind + field.group(1));
                }
            }
        }
        RecordedNames.assertRecorded("store-output.txt", fields);
    }

    /** The request line sent to the running instance, and the page rendered from its response. */
    @Test void fleetStatusIsRequestedAndRenderedAsRecorded() throws Exception {
        String status = Json.write(RecordedNames.example("example-status.json"));
        assertEquals(RecordedNames.lines("fleet-page.txt"), fleetStatus(status).lines().toList());
        assertEquals(status + "\n", fleetStatus(status, "--json"));
    }

    @Test void anUnreachableInstanceHasItsOwnExitCode() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = closed.getLocalPort();
        }
        assertEquals(String.valueOf(UNREACHABLE_EXIT_CODE), run("fleet", "status", "--config", fileAt(port))[0]);
    }

    private String fileAt(int port) throws Exception {
        Map<Object, Object> json = new LinkedHashMap<>(RecordedNames.example("example-object.json"));
        json.put("mgmt", "127.0.0.1:" + port);
        return Files.writeString(folder.resolve("config.json"), Json.write(json)).toString();
    }

    private String fleetStatus(String status, String... more) throws Exception {
        try (ServerSocket instance = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            instance.setSoTimeout(ACCEPT_TIMEOUT_MS);   // a command that sends no request must fail the test, not block it
            List<String> requestLines = new ArrayList<>();
            Thread answering = new Thread(() -> answer(instance, status, requestLines), "instance");
            answering.start();
            List<String> words = new ArrayList<>(List.of("fleet", "status", "--config", fileAt(instance.getLocalPort())));
            words.addAll(List.of(more));
            String[] result = run(words.toArray(String[]::new));
            answering.join();
            assertEquals(String.valueOf(SUCCESS_EXIT_CODE), result[0], result[2]);
            assertEquals(List.of("fleet status"), requestLines);
            return result[1];
        }
    }

    private static void answer(ServerSocket instance, String status, List<String> requestLines) {
        try (Socket caller = instance.accept()) {
            caller.setSoTimeout(ACCEPT_TIMEOUT_MS);
            byte[] question = new byte["fleet status\n".length()];
            int length = caller.getInputStream().readNBytes(question, 0, question.length);
            requestLines.add(new String(question, 0, length, StandardCharsets.US_ASCII).strip());
            caller.getOutputStream().write(("ACK " + status + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            requestLines.add(e.toString());
        }
    }
}
