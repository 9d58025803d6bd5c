package kelphollow.routing;

/**
 * Where the endpoint list comes from. It reports lists by {@link RequestRouter#updateEndpoints} and failures by
 * {@link RequestRouter#endpointPollFailed}. Confined to the router's event loop.
 */
public interface EndpointSource {
    /** Polls the list and watches for later changes; no effect while an earlier watch goes on, or once stopped. */
    void watch();

    /** Ends the watch for good: nothing is reported from now on. */
    default void stop() {}
}
