package kelphollow.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import kelphollow.names.RecordedNames;
import kelphollow.protocol.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Simulated instances over sockets and processes of the program form one fleet, and the run leaves no process behind. */
class ScaleSocketTest {
    private static final String SCENARIO = "{\"name\":\"t\",\"instances\":16,\"real\":3,\"nodes\":200,\"regions\":3,"
        + "\"zones\":6,\"period_ms\":200,\"warmup_ms\":3000,\"seconds\":10,\"loops\":2,"
        + "\"part\":{\"drains\":2,\"silent\":1,\"refused\":1},\"steps\":["
        + "{\"at_ms\":1000,\"do\":\"restart\",\"first\":4,\"count\":2}]}";

    @Test void simulatedAndRealInstancesFormOneFleet(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("s.json"), SCENARIO);
        Path json = folder.resolve("out.json");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Set<Long> before = children();
        int code = Scale.run(new Scale.Options(file, List.of(), Double.NaN, 3, folder.resolve("report"), json, false),
            new PrintStream(out), System.err);
        Map<?, ?> figures = (Map<?, ?>) Json.parse(Files.readString(json));
        String text = out.toString(StandardCharsets.UTF_8);

        Set<Long> after = children();
        after.removeAll(before);
        assertEquals(Set.of(), after, "processes left after the run");
        RecordedNames.assertAmongRecorded("scale-report-processes.txt", RecordedNames.keys(figures));
        assertEquals(16.0, figures.get("instances"));
        assertEquals(13.0, figures.get("hollow"));
        assertEquals(3.0, figures.get("real"));
        for (String figure : List.of("parts_fresh_share", "drain_ms", "bytes_per_second")) {
            assertTrue(((Map<?, ?>) figures.get(figure)).keySet().containsAll(Set.of("p50", "p99", "max")), figure);
        }
        assertTrue(figures.get("core_share") instanceof Double && figures.get("memory_mb") instanceof Double);
        assertTrue(Files.size(folder.resolve("report/over-time-bytes.png")) > 0);
        // On a host that cannot keep up, the run is void; the assertions below hold on any host.
        assertEquals(figures.get("void") == Boolean.TRUE ? Scale.VOID : Scale.PASSED, code, text);
        List<?> failures = (List<?>) figures.get("failures");
        assertTrue(failures.stream().noneMatch(f -> f.toString().startsWith("crash:")), text);
        Map<?, ?> real = (Map<?, ?>) figures.get("real_instances");
        assertTrue((Double) real.get("datagrams_per_second") > 0 && (Double) real.get("bytes_in_per_second") > 0, text);
        ((Map<?, ?>) real.get("hollow_by_real")).forEach((figure, ratio) -> {
            assertTrue((Double) ratio > 0.5 && (Double) ratio < 2, figure + ": ratio of simulated to real instances is "
                + ratio);
        });
        assertTrue((Double) real.get("discovery_answers") >= 2 * 3, "each process polls clusters and endpoints");
    }

    private static Set<Long> children() {
        return ProcessHandle.current().children().map(ProcessHandle::pid)
            .collect(Collectors.toCollection(HashSet::new));
    }
}
