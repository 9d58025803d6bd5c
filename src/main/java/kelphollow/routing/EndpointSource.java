package kelphollow.routing;

/** Where the node list comes from: tells {@link RequestRouter#learn} of news and {@link RequestRouter#endpointPollFailed} of failures. */
public interface EndpointSource {
    /** Asks for the list and all later changes; does nothing while an earlier such call goes on, or after the end. */
    void watch();

    /** Another takes its place: it tells nothing from now on. */
    default void stop() {}
}
