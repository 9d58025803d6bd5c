package kelphollow.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.Test;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Checkstyle's findings are those that {@code config/checkstyle-suppressions.xml} lists, file by file and with their number:
 * one more fails, and so does one fewer until the number is lowered. Maven runs this after Checkstyle, in the phase verify.
 */
class PinnedFindings {
    private static final Path LIST = Path.of("config/checkstyle-suppressions.xml");
    private static final Path REPORT = Path.of("target/checkstyle-findings.xml");
    private static final Pattern ENTRY = Pattern.compile("<suppress checks=\"(\\w+)\" files=\"([^\"]+)\"/> <!-- (\\d+) -->");

    @Test void findingsAreThoseListed() throws Exception {
        Map<String, Integer> listed = new TreeMap<>();
        for (String line : Files.readAllLines(LIST)) {
            Matcher entry = ENTRY.matcher(line);
            if (entry.find()) listed.put(entry.group(1) + " " + entry.group(2), Integer.parseInt(entry.group(3)));
        }
        Map<String, List<String>> found = findings();
        List<String> wrong = new ArrayList<>();
        found.forEach((where, what) -> {
            if (what.size() > listed.getOrDefault(where, 0)) {
                wrong.add(where + ": " + what.size() + " found, " + listed.getOrDefault(where, 0)
                    + " listed; mend the new:\n    "
                    + String.join("\n    ", what));
            }
        });
        listed.forEach((where, count) -> {
            int now = found.getOrDefault(where, List.of()).size();
            if (now < count) wrong.add(where + ": " + now + " found, " + count + " listed; lower the number in " + LIST);
        });
        assertTrue(wrong.isEmpty(), String.join("\n", wrong));
    }

    @Test void eachEntryIsReadAndHasAReason() throws Exception {
        List<String> lines = Files.readAllLines(LIST);
        List<String> seen = new ArrayList<>();
        boolean reason = false;
        for (String line : lines) {
            if (line.isBlank()) {
                reason = false;
            } else if (line.startsWith("  <!-- ")) {
                reason = true;
            } else if (line.contains("<suppress ")) {
                Matcher entry = ENTRY.matcher(line.strip());
                assertTrue(entry.matches(), "one entry a line, with its number: " + line);
                assertTrue(reason, "a reason above its group: " + line);
                assertTrue(Integer.parseInt(entry.group(3)) > 0, "nothing to suppress: " + line);
                assertTrue(Files.exists(Path.of(entry.group(2))), "no such file: " + line);
                seen.add(entry.group(1) + " " + entry.group(2));
            }
        }
        assertFalse(seen.isEmpty(), "the list is there");
        assertEquals(seen.size(), seen.stream().distinct().count(), "an entry is there twice");
    }

    /** What Checkstyle found, by rule and file. Files without a finding are left out when its cache knows them. */
    private static Map<String, List<String>> findings() throws Exception {
        assertTrue(Files.exists(REPORT), "Checkstyle writes " + REPORT + " in mvn verify");
        Map<String, List<String>> found = new TreeMap<>();
        NodeList files = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(REPORT.toFile())
            .getElementsByTagName("file");
        for (int i = 0; i < files.getLength(); i++) {
            Element file = (Element) files.item(i);
            String path = Path.of("").toAbsolutePath().relativize(Path.of(file.getAttribute("name"))).toString();
            NodeList errors = file.getElementsByTagName("error");
            for (int j = 0; j < errors.getLength(); j++) {
                Element error = (Element) errors.item(j);
                String rule = error.getAttribute("source").replaceAll(".*[.#]|Check$", "");
                found.computeIfAbsent(rule + " " + path, k -> new ArrayList<>())
                    .add("line " + error.getAttribute("line") + ": " + error.getAttribute("message"));
            }
        }
        return found;
    }
}
