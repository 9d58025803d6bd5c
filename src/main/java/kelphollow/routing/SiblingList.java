package kelphollow.routing;

import java.util.Map;

/**
 * The endpoint list as the other process of an upgrade, its sibling, received it last.
 *
 * @param source the discovery service that it comes from; versions of different services are not comparable
 * @param version its version at that service
 * @param usable the nodes that may get new requests, with the time of their last start as listed
 */
public record SiblingList(String source, long version, Map<String, Double> usable) {
    /** Copies the map. */
    public SiblingList {
        usable = Map.copyOf(usable);
    }

    /** Whether the other list, which may be null, has the same source and version. */
    public boolean isSameVersionAs(SiblingList other) {
        return other != null && version == other.version && source.equals(other.source);
    }
}
