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
 * when it was due. Retries, marked as the SDKs of S3 mark them, count under the first try. Each request's id names the
 * instance that it went to.
 */
final class Clients implements AutoCloseable {
    /** How long a client waits: the class's deadline and what the answer may take on its way. */
    static final double PATIENCE = 2_600;

    private final History history;
    private final Instances instances;
    private final double writes;
    private volatile double rate;
    private final int retries;
    private final List<String> gold;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(1_000)).build();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger open = new AtomicInteger();
    private double due;
    private long number;
    private volatile boolean over;

    Clients(History history, Instances instances, double rate, double writes, int retries, List<String> gold, long seed) {
        this.history = history;
        this.instances = instances;
        this.rate = rate;
        this.writes = writes;
        this.retries = retries;
        this.gold = gold;
        this.random = new Random(seed);
    }

    void start() {
        due = history.now();
        history.add("lab", "load", "rate", rate);
        if (rate > 0) {
            next();
        }
    }

    /** So many a second from now on. */
    void load(double perSecond) {
        history.add("lab", "load", "rate", perSecond);
        rate = perSecond;
    }

    /** Poisson arrivals. */
    private void next() {
        due += -Math.log(1 - random.nextDouble()) / rate * 1_000;
        clock.schedule(() -> {
            if (!over) {
                ask(due);
                next();
            }
        }, (long) (Math.max(0, due - history.now()) * 1_000), TimeUnit.MICROSECONDS);
    }

    private void ask(double at) {
        List<String> all = instances.names();
        String to = all.get(random.nextInt(all.size()));
        boolean write = random.nextDouble() < writes;
        String id = "r" + number++ + "-" + to;
        history.add("client", "ask", "request", id, "instance", to, "write", write, "worth", gold.contains(to) ? 3 : 1,
            "due", at);
        open.incrementAndGet();
        attempt(1, at, id, to, write);
    }

    private void attempt(int number, double due, String id, String to, boolean write) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + instances.clientPort(to)
            + (gold.contains(to) ? "/gold/" : "/lab/") + id)).timeout(Duration.ofMillis((long) PATIENCE))
            .header("amz-sdk-request", "attempt=" + number + "; max=" + (retries + 1));
        if (write) {
            request.PUT(HttpRequest.BodyPublishers.ofString("body"));
        }
        CompletableFuture<HttpResponse<String>> answer = http.sendAsync(request.build(), HttpResponse.BodyHandlers
            .ofString());
        answer.whenComplete((response, fault) -> {
            int status = response == null ? 0 : response.statusCode();
            if (status > 0 && status != 200 && !write && number <= retries && history.now() - due < PATIENCE / 2) {
                history.add("client", "again", "request", id, "status", status);
                attempt(number + 1, due, id, to, write);
                return;
            }
            history.add("client", "answer", "request", id, "status", status,
                "fault", fault == null ? null : String.valueOf(fault.getCause() == null ? fault : fault.getCause()),
                "took", history.now() - due);
            open.decrementAndGet();
        });
    }

    /** No new requests; waits until all that are open have ended, for as long as any may take. */
    void finish() throws InterruptedException {
        over = true;
        double until = history.now() + PATIENCE + 2_000;
        while (open.get() > 0 && history.now() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override public void close() {
        over = true;
        clock.shutdownNow();
    }
}
