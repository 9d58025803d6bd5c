package kelphollow.protocol.object;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.ledger.Ledger;
import kelphollow.recovery.RecoveredOutcomes;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.store.StoreFault;
import kelphollow.transport.Front;
import kelphollow.transport.LingeringClose;

/** The front for clients of the object API over HTTP. */
public final class ObjectFront implements Front {
    /** A class of the settings and the time its clients wait. */
    public record Kind(String name, double deadline) {}

    /** The plan that a bucket stands on, and how many gateways its requests come through. */
    public record Bucket(String plan, int hosts) {}

    /** What an operator sets; sizes in bytes, times in milliseconds. */
    public record Options(Map<String, Bucket> buckets, Kind read, Kind write, Kind large, long bytesPerUnit,
                          double mostUnits, double usualUnits, double largeUnits, int shards, long largestBody,
                          double slowestBytesPerMilli, double stall, int parts) {}

    // Room is made at the expense of connections that have been idle for so long: none that has just come.
    private static final double EVICTED_AFTER = 50;
    private static final double LINGER = 1_000;
    private static final int MOST_LINGERING = 64;
    private static final int LARGEST_LINE = 8 * 1024;
    private static final int LARGEST_HEAD = 16 * 1024;
    private static final int LARGEST_PIECE = 16 * 1024;

    final RequestRouter router;
    final Ticker ticker;
    final Options options;
    final UploadParts parts;
    final Completions completions;
    final Set<ObjectClient> clients = new LinkedHashSet<>();
    final double startedAt;
    final LingeringClose lingering;
    Runnable leaving;
    private long exchanges;

    /** {@code ledger} is null where nothing outlives this process; otherwise what it holds is taken over. */
    public ObjectFront(RequestRouter router, Ticker ticker, Options options, Ledger ledger) throws IOException, StoreFault {
        this.router = router;
        this.ticker = ticker;
        this.options = options;
        this.startedAt = ticker.now();
        this.lingering = new LingeringClose(ticker, options.stall(), LINGER, MOST_LINGERING);
        double settle = options.write().deadline();
        this.parts = new UploadParts(options.parts(), settle, ledger == null ? null : ledger.parts());
        this.completions = new Completions(options.parts(), settle, ledger == null ? null : ledger.completions());
        if (ledger != null) {
            RecoveredOutcomes recovered = new RecoveredOutcomes(ledger.epoch(), startedAt, settle, ledger.lostUpTo());
            parts.restore(recovered, startedAt);
            completions.restore(recovered, startedAt);
        }
    }

    @Override public int connections() {
        return clients.size();
    }

    @Override public void accept(Channel channel) {
        channel.config().setAutoRead(false);
        channel.pipeline().addLast(new HttpServerCodec(LARGEST_LINE, LARGEST_HEAD, LARGEST_PIECE),
            new ObjectClient(this, channel));
    }

    /** Guards usual clients against others that hold connections and ask for nothing: the longest idle one goes. */
    @Override public void evictIdle() {
        clients.stream().filter(c -> c.isIdle() && ticker.now() - c.idleSince() >= EVICTED_AFTER)
            .min(Comparator.comparingDouble(ObjectClient::idleSince)).ifPresent(ObjectClient::close);
    }

    @Override public void shutDown(Runnable whenLeft) {
        leaving = whenLeft;
        List.copyOf(clients).forEach(ObjectClient::leaveIfIdle);
        checkLeft();
    }

    void checkLeft() {
        if (leaving != null && clients.isEmpty() && lingering.connections() == 0) {
            leaving.run();
        }
    }

    String nextId() {
        return Long.toString(++exchanges, 36);
    }

    /** What the module is told of a call. */
    RequestArrived arrival(ObjectCall call) throws S3Error {
        Bucket bucket = options.buckets().get(call.bucket());
        if (bucket == null) {
            throw new S3Error(404, "NoSuchBucket", "The specified bucket does not exist.");
        }
        long bytes = call.op().hasBody() ? call.length() : call.rangeLength();
        double units = call.op() == ObjectCall.Op.GET && bytes < 0 ? options.usualUnits()
            : Math.min(options.mostUnits(), Math.max(1, Math.ceil((double) bytes / options.bytesPerUnit())));
        Kind kind = !call.op().safe ? options.write() : units >= options.largeUnits() ? options.large() : options.read();
        double body = call.op().hasBody() ? call.length() / options.slowestBytesPerMilli() : 0;
        return new RequestArrived("", kind.name(), bucket.plan(), call.bucket() + '/' + call.key(),
            ticker.now() + kind.deadline() + body, call.bucket(), units, call.shard(options.shards()), bucket.hosts(),
            call.isMarkedRetry());
    }
}
