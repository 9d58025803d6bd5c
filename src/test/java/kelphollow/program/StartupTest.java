package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Startup: its wait for discovery, SIGTERM and bind errors during it, and checks of the settings. */
@Timeout(60)
class StartupTest {
    @TempDir
    Path folder;

    @Test void startupWaitsForDiscoveryToRespondOrToRefuseTheConnection() throws Exception {
        try (ScriptedPeer discovery = new ScriptedPeer();
             ServerHarness harness = ServerHarness.respWith("automatic", discovery.address())) {
            ScriptedPeer.Connection call = discovery.accept();
            call.until("\r\n\r\n");
            assertFalse(harness.awaitFirstResponse(0));
            String list = FakeDiscovery.list(4, false);
            call.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            assertTrue(harness.awaitFirstResponse(10_000));
        }
        try (ServerHarness harness = ServerHarness.respWith("subscribe", new InetSocketAddress("127.0.0.1", 1))) {
            assertTrue(harness.awaitFirstResponse(10_000));
        }
    }

    /** Starts the program with these addresses; its log goes to the file {@code log} in the folder. */
    private Process start(InetSocketAddress listen, InetSocketAddress discovery) throws Exception {
        Path file = Files.writeString(folder.resolve("c.json"), "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + listen.getPort()
            + "\",\"discovery\":\"127.0.0.1:" + discovery.getPort() + "\",\"settings\":" + settings() + "}");
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
            System.getProperty("java.class.path"), Main.class.getName(), "serve").redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.start();
    }

    @Test void sigtermDuringStartupExitsWithCodeZero() throws Exception {
        try (ScriptedPeer discovery = new ScriptedPeer()) {
            Process program = start(new InetSocketAddress("127.0.0.1", 0), discovery.address());
            try {
                discovery.accept();            // polled before the warm-up, long before the client socket is open
                program.destroy();
                assertTrue(program.waitFor(20, TimeUnit.SECONDS));
                assertFalse(Files.readString(folder.resolve("log")).contains("serves at"));
                assertEquals(0, program.exitValue());
            } finally {
                program.destroyForcibly().waitFor();
            }
        }
    }

    @Test void startupThatCannotListenExitsWithCodeOne() throws Exception {
        try (ScriptedPeer holder = new ScriptedPeer()) {
            Process program = start(holder.address(), new InetSocketAddress("127.0.0.1", 1));
            try {
                assertTrue(program.waitFor(30, TimeUnit.SECONDS));
                assertEquals(1, program.exitValue());
            } finally {
                program.destroyForcibly().waitFor();
            }
        }
    }

    static String settings() throws Exception {
        String text = Files.readString(Path.of("deploy/objects.json"));
        int at = text.indexOf("\"settings\"");
        return text.substring(text.indexOf('{', at), text.lastIndexOf('}'));
    }

    @Test void errorsOfMalformedNumbersInTheSettingsNameTheKey() throws Exception {
        for (List<String> fault : List.of(List.of("request_classes", "window"), List.of("request_classes", "worth"),
            List.of("grades", "ceiling_rate"), List.of("contract", "fall"), List.of("extra", "young_limit"),
            List.of("ceilings", "open_cap"))) {
            Map<String, Object> settings = ServerHarness.section(ServerHarness.example(), "settings");
            if (settings.get(fault.get(0)) instanceof List<?> rows) {
                Map<Object, Object> row = new HashMap<>((Map<?, ?>) rows.get(0));
                row.put(fault.get(1), "soon");
                settings.put(fault.get(0), List.of(row));
            } else {
                ServerHarness.section(settings, fault.get(0)).put(fault.get(1), -1.0);
            }
            ConfigurationException thrown = assertThrows(ConfigurationException.class, () -> SettingsConfig.read(settings),
                fault.toString());
            assertTrue(thrown.getMessage().contains(fault.get(1)), thrown.getMessage());
        }
    }

    @Test void aTokenClassNeedsItsWindow() throws Exception {
        Map<String, Object> settings = ServerHarness.section(ServerHarness.example(), "settings");
        settings.put("request_classes", List.of(Map.of("name", "k", "aim", 100.0, "deadline", 100.0, "effect", "token",
            "dedup_scope", "all")));
        ConfigurationException thrown = assertThrows(ConfigurationException.class, () -> SettingsConfig.read(settings));
        assertTrue(thrown.getMessage().contains("window"));
    }

    @Test void oneClassWithoutLimitsOrZonesIsEnough() throws Exception {
        Object settings = Json.parse("{\"discovery\":\"subscribe\",\"fleet_size\":1,\"tick\":2,"
            + "\"ceilings\":{\"most_tries\":1},"
            + "\"contract\":{\"drain_grace\":0},\"extra\":{},\"grades\":[{\"name\":\"g\",\"rate\":1}],"
            + "\"request_classes\":[{\"name\":\"c\",\"aim\":100,\"deadline\":100}]}");
        assertEquals(1, SettingsConfig.read((Map<?, ?>) settings).classes().size());
    }
}
