package kelphollow.protocol.object;

import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;

/**
 * What the exchanges of the object API share.
 *
 * @param startedAt when this incarnation began, in milliseconds on the ticker's clock
 */
record ObjectServices(RequestRouter router, Ticker ticker, ObjectOptions options, ObjectRequestMapper mapper,
                      UploadParts parts, Completions completions, double startedAt) {
    double now() {
        return ticker.now();
    }

    /** How long a write may take, in milliseconds; an attempt whose outcome is unknown may still take effect so long. */
    double writeDeadline() {
        return options.write().deadline();
    }
}
