package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Decisions stay in clearly named modules: the one that takes every event only shrinks, and what is new goes into a file of
 * its own that stays small. The operators' own bound on the sum of lines has been withdrawn.
 */
class LineLimitsTest {
    /** Lines of {@code Control.java}, blank ones left out; lowered whenever something moves out of it. */
    private static final int CONTROL = 863;
    /** Lines of any other file of the package. */
    private static final int MODULE = 150;
    private static final int LINE = 110;

    private static List<String> lines(Path file) throws IOException {
        return Files.readAllLines(file).stream().filter(l -> !l.isBlank()).toList();
    }

    @Test void theFilesOfTheDeployFileAreThereAndNameTheirInterface() throws Exception {
        Matcher policy = Pattern.compile("(?m)^policy = \\[(.*)]").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(policy.find(), "the deploy file names the module's files");
        List<String> lines = new ArrayList<>();
        for (String file : policy.group(1).split(",")) {
            lines.addAll(lines(Path.of(file.strip().replace("\"", ""))));
        }
        assertTrue(lines.size() > 300, "the module is there");
        for (String line : lines) {
            assertTrue(line.length() <= LINE, line);
        }
        assertTrue(lines.stream().limit(30).anyMatch(l -> l.contains("ControlApi.java")), "names its interface");
    }

    @Test void eachModuleStaysSmall() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/kelphollow/decision"))) {
            for (Path file : files.filter(f -> !f.endsWith("ControlApi.java")).toList()) {
                int most = file.endsWith("Control.java") ? CONTROL : MODULE;
                int count = lines(file).size();
                assertTrue(count <= most, file + ": " + count + " lines");
            }
        }
    }
}
