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
 * Open-loop arrivals: a request is due at its time whether or not earlier ones were answered, and its latency counts from
 * when it was due. Retries, marked as the SDKs of S3 mark them, count under the first attempt. Each request's id names the
 * instance that it went to.
 */
final class Clients implements AutoCloseable {
    /** How long a client waits, in milliseconds: the class's deadline and what the answer may take on its way. */
    static final double PATIENCE = 2_600;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final double FINISH_SLACK = 2_000;
    private static final int GOLD_WEIGHT = 3;
    private static final int OK = 200;

    /** One request, over all its attempts. */
    private record Sent(String id, String instance, boolean isWrite, double due) {}

    private final History history;
    private final Instances instances;
    private final Scenario scenario;
    private final List<String> gold;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS)).build();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger open = new AtomicInteger();
    /** Requests a second. */
    private volatile double rate;
    private volatile boolean finished;
    private double due;
    private long number;

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

    /** So many a second from now on. */
    void load(double perSecond) {
        history.add(HistoryLine.LAB, "load", "rate", perSecond);
        rate = perSecond;
    }

    /** Poisson arrivals. */
    private void scheduleNext() {
        due += -Math.log(1 - random.nextDouble()) / rate * 1_000;
        clock.schedule(() -> {
            if (!finished) {
                send(due);
                scheduleNext();
            }
        }, (long) (Math.max(0, due - history.now()) * 1_000), TimeUnit.MICROSECONDS);
    }

    private void send(double at) {
        List<String> all = instances.names();
        String instance = all.get(random.nextInt(all.size()));
        boolean isWrite = random.nextDouble() < scenario.writeShare();
        Sent sent = new Sent("r" + number++ + "-" + instance, instance, isWrite, at);
        history.add("client", "ask", "request", sent.id, "instance", instance, "write", isWrite, "worth",
            gold.contains(instance) ? GOLD_WEIGHT : 1, "due", at);
        open.incrementAndGet();
        attempt(sent, 1);
    }

    private void attempt(Sent sent, int attempt) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(sent)).timeout(Duration.ofMillis((long) PATIENCE))
            .header("amz-sdk-request", "attempt=" + attempt + "; max=" + (scenario.retries() + 1));
        if (sent.isWrite) {
            request.PUT(HttpRequest.BodyPublishers.ofString("body"));
        }
        CompletableFuture<HttpResponse<String>> answer = http.sendAsync(request.build(),
            HttpResponse.BodyHandlers.ofString());
        answer.whenComplete((response, fault) -> answered(sent, attempt, response, fault));
    }

    private URI uri(Sent sent) {
        return URI.create("http://127.0.0.1:" + instances.get(sent.instance).clientPort()
            + (gold.contains(sent.instance) ? "/gold/" : "/lab/") + sent.id);
    }

    private void answered(Sent sent, int attempt, HttpResponse<String> response, Throwable fault) {
        int status = response == null ? 0 : response.statusCode();
        boolean mayRetry = !sent.isWrite && attempt <= scenario.retries() && history.now() - sent.due < PATIENCE / 2;
        if (status > 0 && status != OK && mayRetry) {
            history.add("client", "again", "request", sent.id, "status", status);
            attempt(sent, attempt + 1);
            return;
        }
        history.add("client", "answer", "request", sent.id, "status", status,
            "fault", fault == null ? null : String.valueOf(fault.getCause() == null ? fault : fault.getCause()),
            "took", history.now() - sent.due);
        open.decrementAndGet();
    }

    /** No new requests; waits until all that are open have ended, for as long as any may take. */
    void finish() throws InterruptedException {
        finished = true;
        double until = history.now() + PATIENCE + FINISH_SLACK;
        while (open.get() > 0 && history.now() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override public void close() {
        finished = true;
        clock.shutdownNow();
    }
}
