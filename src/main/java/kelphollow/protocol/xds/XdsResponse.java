package kelphollow.protocol.xds;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import kelphollow.protocol.json.Json;

/**
 * A DiscoveryResponse.
 *
 * @param version of the resources
 * @param resources null if they are unchanged since the version that was asked with
 */
record XdsResponse(String version, List<?> resources) {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    /**
     * Reads a response.
     *
     * @param heldVersion the version that was asked with
     * @throws IOException if the body is no JSON
     * @throws IllegalArgumentException if it is no DiscoveryResponse
     */
    static XdsResponse parse(int status, String body, String heldVersion) throws IOException {
        if (status == NOT_MODIFIED) {
            return new XdsResponse(heldVersion, null);
        }
        if (status != OK) {
            throw new IllegalArgumentException("status " + status);
        }
        if (!(Json.parse(body) instanceof Map<?, ?> map)) {
            throw new IllegalArgumentException("the answer is not an object");
        }
        Object found = map.containsKey("version_info") ? map.get("version_info") : map.get("versionInfo");
        String version = found instanceof String text ? text : "";
        if (!version.isEmpty() && version.equals(heldVersion)) {
            return new XdsResponse(version, null);
        }
        if (!(map.get("resources") instanceof List<?> resources)) {
            throw new IllegalArgumentException("'resources' is missing");
        }
        return new XdsResponse(version, resources);
    }
}
