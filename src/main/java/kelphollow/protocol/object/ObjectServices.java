package kelphollow.protocol.object;

import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;

/**
 * Services shared by the exchanges of the object API.
 *
 * @param startedAt when this incarnation started, in milliseconds on the ticker's clock
 */
record ObjectServices(RequestRouter router, Ticker ticker, ObjectOptions options, ObjectRequestMapper mapper,
                      UploadParts parts, Completions completions, double startedAt) {
    double now() {
        return ticker.now();
    }

    /** Time limit of a write in milliseconds, within which an attempt with an unknown outcome may still take effect. */
    double writeDeadline() {
        return options.write().deadline();
    }
}
