package kelphollow.protocol.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of control plane responses: with resources, unchanged, and invalid. */
class XdsResponseTest {
    @Test void resourcesOfANewVersionAreRead() throws IOException {
        XdsResponse response = XdsResponse.parse(200, "{\"version_info\":\"2\",\"resources\":[7]}", "1");

        assertEquals("2", response.version());
        assertEquals(List.of(7.0), response.resources());
    }

    @Test void theVersionIsReadInBothSpellings() throws IOException {
        assertEquals("2", XdsResponse.parse(200, "{\"versionInfo\":\"2\",\"resources\":[]}", "1").version());
    }

    @Test void withoutAVersionResourcesAlwaysCountAsNew() throws IOException {
        XdsResponse response = XdsResponse.parse(200, "{\"resources\":[7]}", "");

        assertEquals("", response.version());
        assertEquals(List.of(7.0), response.resources());
    }

    @Test void knownVersionYieldsNoResources() throws IOException {
        assertNull(XdsResponse.parse(200, "{\"version_info\":\"1\",\"resources\":[7]}", "1").resources());
        assertNull(XdsResponse.parse(200, "{\"version_info\":\"1\"}", "1").resources(), "resources may be omitted");
    }

    @Test void notModifiedKeepsTheKnownVersion() throws IOException {
        XdsResponse response = XdsResponse.parse(304, "", "1");

        assertEquals("1", response.version());
        assertNull(response.resources());
    }

    @Test void invalidResponsesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> XdsResponse.parse(503, "", "1"));
        assertThrows(IllegalArgumentException.class, () -> XdsResponse.parse(200, "[]", "1"));
        assertThrows(IllegalArgumentException.class, () -> XdsResponse.parse(200, "{\"version_info\":\"2\"}", "1"));
        assertThrows(IOException.class, () -> XdsResponse.parse(200, "{", "1"));
    }
}
