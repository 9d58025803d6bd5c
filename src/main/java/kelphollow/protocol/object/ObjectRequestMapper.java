package kelphollow.protocol.object;

import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.protocol.object.ObjectOptions.Bucket;
import kelphollow.protocol.object.ObjectOptions.ClientClass;
import kelphollow.routing.Ticker;

/** Maps calls of the object API to the requests of the decision module. */
final class ObjectRequestMapper {
    private final ObjectOptions options;
    private final Ticker ticker;

    ObjectRequestMapper(ObjectOptions options, Ticker ticker) {
        this.options = options;
        this.ticker = ticker;
    }

    /**
     * Maps a call that arrives now.
     *
     * @throws S3Error if its bucket is not configured
     */
    RequestArrived arrival(ObjectCall call) throws S3Error {
        Bucket bucket = options.buckets().get(call.bucket());
        if (bucket == null) {
            throw new S3Error(404, "NoSuchBucket", "The specified bucket does not exist.");
        }
        double units = units(call);
        ClientClass clientClass = clientClass(call, units);
        double bodyTime = call.op().hasBody() ? call.length() / options.minBytesPerMilli() : 0;
        return new RequestArrived("", clientClass.name(), bucket.plan(), call.bucket() + '/' + call.key(),
            ticker.now() + clientClass.deadline() + bodyTime, call.bucket(), units, call.cell(options.cells()),
            bucket.gateways(), call.isMarkedRetry());
    }

    private double units(ObjectCall call) {
        long bytes = call.op().hasBody() ? call.length() : call.rangeLength();
        if (call.op() == ObjectCall.Operation.GET && bytes < 0) {
            return options.meanUnits();
        }
        return Math.min(options.maxUnits(), Math.max(1, Math.ceil((double) bytes / options.bytesPerUnit())));
    }

    private ClientClass clientClass(ObjectCall call, double units) {
        if (!call.op().isIdempotent()) {
            return options.write();
        }
        return units >= options.largeUnits() ? options.large() : options.read();
    }
}
