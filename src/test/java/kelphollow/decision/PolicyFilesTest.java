package kelphollow.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The deploy file lists the source files of the decision module, and the first of them mentions its interface. */
class PolicyFilesTest {
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Pattern POLICY = Pattern.compile("(?m)^policy = \\[(.*)]");
    /** Number of first lines, without imports, that must mention the interface. */
    private static final int HEAD_LINES = 30;
    private static final int MIN_LINES = 300;

    private static List<String> policyLines() throws IOException {
        Matcher policy = POLICY.matcher(Files.readString(DEPLOY_FILE));
        assertTrue(policy.find(), "the deploy file has a policy line");
        List<String> lines = new ArrayList<>();
        for (String file : policy.group(1).split(",")) {
            lines.addAll(Files.readAllLines(Path.of(file.strip().replace("\"", ""))));
        }
        lines.removeIf(line -> line.isBlank() || line.startsWith("import "));
        return lines;
    }

    @Test void policyFilesExistAndHoldTheModule() throws Exception {
        assertTrue(policyLines().size() > MIN_LINES, "policy files hold more than " + MIN_LINES + " lines");
    }

    @Test void moduleNamesItsInterface() throws Exception {
        assertTrue(policyLines().stream().limit(HEAD_LINES).anyMatch(line -> line.contains("ControlEvent")),
            "the first lines mention ControlEvent");
    }
}
