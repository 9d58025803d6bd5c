package kelphollow.lab;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Open-loop load generator: a request is due at its time whether or not earlier ones were answered, and its latency counts
 * from when it was due. Retries carry the attempt header of the S3 SDKs and count under the first attempt. Each request's id
 * ends with the name of the instance that it was sent to.
 */
final class Clients implements AutoCloseable {
    /** A client's request timeout: the class's deadline plus the time for the answer to arrive. */
    static final double TIMEOUT_MS = 2_600;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final double FINISH_TOLERANCE_MS = 2_000;
    private static final int GOLD_WEIGHT = 3;
    private static final int STATUS_OK = 200;

    /** One request with all its attempts; {@code due} in milliseconds since the run began. */
    private record PendingRequest(String id, String instance, boolean isWrite, double due) {}

    private final History history;
    private final Instances instances;
    private final Scenario scenario;
    private final List<String> gold;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS)).build();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger openRequests = new AtomicInteger();
    /** Requests per second. */
    private volatile double rate;
    private volatile boolean finished;
    private double due;
    private long nextNumber;

    Clients(Scenario scenario, History history, Instances instances, long seed) {
        this.scenario = scenario;
        this.history = history;
        this.instances = instances;
        this.rate = scenario.rate();
        this.gold = scenario.gold();
        this.random = new Random(seed);
    }

    void start() {
        due = history.now();
        history.add(HistoryLine.LAB, "load", "rate", rate);
        if (rate > 0) {
            scheduleNext();
        }
    }

    /** Changes the rate to this many requests per second. */
    void setRate(double perSecond) {
        history.add(HistoryLine.LAB, "load", "rate", perSecond);
        rate = perSecond;
    }

    /** Schedules the next arrival of a Poisson process. */
    private void scheduleNext() {
        due += -Math.log(1 - random.nextDouble()) / rate * 1_000;
        scheduler.schedule(() -> {
            if (!finished) {
                send(due);
                scheduleNext();
            }
        }, (long) (Math.max(0, due - history.now()) * 1_000), TimeUnit.MICROSECONDS);
    }

    private void send(double at) {
        List<String> names = instances.names();
        String instance = names.get(random.nextInt(names.size()));
        boolean isWrite = random.nextDouble() < scenario.writeShare();
        PendingRequest pending = new PendingRequest("r" + nextNumber++ + "-" + instance, instance, isWrite, at);
        history.add("client", "ask", "request", pending.id, "instance", instance, "write", isWrite, "worth",
            gold.contains(instance) ? GOLD_WEIGHT : 1, "due", at);
        openRequests.incrementAndGet();
        attempt(pending, 1);
    }

    private void attempt(PendingRequest pending, int attempt) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(pending)).timeout(Duration.ofMillis((long) TIMEOUT_MS))
            .header("amz-sdk-request", "attempt=" + attempt + "; max=" + (scenario.retries() + 1));
        if (pending.isWrite) {
            request.PUT(HttpRequest.BodyPublishers.ofString("body"));
        }
        CompletableFuture<HttpResponse<String>> future = http.sendAsync(request.build(),
            HttpResponse.BodyHandlers.ofString());
        future.whenComplete((response, error) -> onResponse(pending, attempt, response, error));
    }

    private URI uri(PendingRequest pending) {
        return URI.create("http://127.0.0.1:" + instances.get(pending.instance).clientPort()
            + (gold.contains(pending.instance) ? "/gold/" : "/lab/") + pending.id);
    }

    private void onResponse(PendingRequest pending, int attempt, HttpResponse<String> response, Throwable error) {
        int status = response == null ? 0 : response.statusCode();
        boolean mayRetry = !pending.isWrite && attempt <= scenario.retries() && history.now() - pending.due < TIMEOUT_MS / 2;
        if (status > 0 && status != STATUS_OK && mayRetry) {
            history.add("client", "again", "request", pending.id, "status", status);
            attempt(pending, attempt + 1);
            return;
        }
        history.add("client", "answer", "request", pending.id, "status", status,
            "fault", error == null ? null : String.valueOf(error.getCause() == null ? error : error.getCause()),
            "took", history.now() - pending.due);
        openRequests.decrementAndGet();
    }

    /** Sends no new requests and waits for the open ones, at most as long as a request can take. */
    void finish() throws InterruptedException {
        finished = true;
        double until = history.now() + TIMEOUT_MS + FINISH_TOLERANCE_MS;
        while (openRequests.get() > 0 && history.now() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override public void close() {
        finished = true;
        scheduler.shutdownNow();
    }
}
