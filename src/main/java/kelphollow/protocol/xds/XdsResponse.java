package kelphollow.protocol.xds;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.json.Json;

/**
 * A DiscoveryResponse.
 *
 * @param version version of the resources
 * @param resources null if unchanged since the version in the request
 */
record XdsResponse(String version, List<?> resources) {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    /**
     * Parses a response.
     *
     * @param knownVersion the version in the request
     * @throws IOException if the body is not valid JSON
     * @throws IllegalArgumentException if it is not a DiscoveryResponse
     */
    static XdsResponse parse(int status, String body, String knownVersion) throws IOException {
        if (status == NOT_MODIFIED) {
            return new XdsResponse(knownVersion, null);
        }
        if (status != OK) {
            throw new IllegalArgumentException("HTTP status " + status + ", expected 200 or 304");
        }
        if (!(Json.parse(body) instanceof Map<?, ?> map)) {
            throw new IllegalArgumentException("the response is not a JSON object");
        }
        Object found = map.containsKey("version_info") ? map.get("version_info") : map.get("versionInfo");
        String version = found instanceof String text ? text : "";
        if (!version.isEmpty() && version.equals(knownVersion)) {
            return new XdsResponse(version, null);
        }
        if (!(map.get("resources") instanceof List<?> resources)) {
            throw new IllegalArgumentException("'resources' is missing");
        }
        return new XdsResponse(version, resources);
    }
}
