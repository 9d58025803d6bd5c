package kelphollow.protocol.object;

import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.ClientMemory;

/**
 * Services shared by the exchanges of the object API.
 *
 * @param clientMemory bounds what clients occupy while their requests wait
 * @param startedAt when this incarnation started, in milliseconds on the ticker's clock
 */
record ObjectServices(RequestRouter router, Ticker ticker, ObjectOptions options, ObjectRequestMapper mapper,
                      UploadParts parts, Completions completions, ClientMemory clientMemory, double startedAt) {
    double now() {
        return ticker.now();
    }

    /** Milliseconds for which an attempt of unknown outcome may still take effect after its end. */
    double settleTime() {
        return options.settleTime();
    }

    /** Time limit of a write in milliseconds. */
    double writeDeadline() {
        return options.write().deadline();
    }
}
