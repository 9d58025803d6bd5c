package kelphollow.routing;

/**
 * A source of the endpoint list, such as a discovery service. It reports lists by {@link RequestRouter#updateEndpoints}
 * and failures by {@link RequestRouter#endpointPollFailed}. Confined to the router's event loop.
 */
public interface EndpointSource {
    /** Polls the list and watches for later changes; no effect while an earlier watch is active, or once stopped. */
    void watch();

    /** Ends the watch permanently: nothing is reported from now on. */
    default void stop() {}
}
