package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.SiblingList;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;
import kelphollow.transport.Server;

/**
 * One scheduler: a front, the router with its decision module, a backend and a source of endpoints, all on one event loop.
 * Unless documented otherwise, methods must be called from other threads than the loop's.
 */
abstract sealed class Scheduler permits PlatformScheduler, ObjectScheduler {
    private static final long COUNTERS_TIMEOUT_MS = 100;
    // Extra time for answers to clients that are slow to read.
    private static final double SLOW_READER_GRACE_MS = 500;

    private final EventLoop loop;
    private final Ticker ticker;
    private final Server server;
    /** Changed on the loop; read by the shutdown hook, too. */
    private volatile ShutdownSchedule shutdown;
    private Front front;
    private RequestRouter router;
    private volatile boolean hasInheritedSocket;

    /** {@code sockets} is the number of file descriptors that the program may use. */
    Scheduler(EventLoop loop, Ticker ticker, int sockets, ShutdownSchedule shutdown) {
        this.loop = loop;
        this.ticker = ticker;
        this.server = new Server(clientSockets(sockets));
        this.shutdown = shutdown;
    }

    /** Half of the descriptors are for clients, a third for nodes, the rest for the program's own files and sockets. */
    static int clientSockets(int sockets) {
        return sockets / 2;
    }

    static int nodeSockets(int sockets) {
        return sockets / 3;
    }

    /** Sets the wired components; called on the loop, before {@link #listen}. */
    final void setComponents(RequestRouter wiredRouter, Front wiredFront) {
        router = wiredRouter;
        front = wiredFront;
    }

    final EventLoop loop() {
        return loop;
    }

    final Ticker ticker() {
        return ticker;
    }

    final RequestRouter router() {
        return router;
    }

    /** Accepts clients from the inherited socket. The next process holds it too, so shutdown stops accepting at once. */
    final InetSocketAddress listen(ServerSocketChannel inherited) {
        hasInheritedSocket = true;
        return server.listen(loop, inherited, front);
    }

    /** Listens on the address; returns the bound address with the actual port. */
    final InetSocketAddress listen(InetSocketAddress address) {
        return server.listen(loop, address, front);
    }

    /** Whether clients are accepted from a socket inherited from the platform. */
    final boolean hasInheritedSocket() {
        return hasInheritedSocket;
    }

    /**
     * Takes over from the process that has served so far; called before the first request.
     *
     * @param tokens those of the volumes' limits, or nothing if they were not handed over
     */
    final void takeOver(Optional<Map<String, Double>> tokens) {
        loop.submit(() -> {
            router.predecessorReplaced();
            tokens.ifPresentOrElse(router::restoreLimits, router::limitsNotHandedOver);
        }).syncUninterruptibly();
    }

    /** Runs {@code step} on the event loop, which owns the router, and completes with its result. */
    final <T> CompletableFuture<T> onLoop(Function<RequestRouter, T> step) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(step.apply(router));
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /** Whether the source of endpoints has responded since the start; safe from any thread. */
    final boolean hasReceivedEndpoints() {
        return router != null && router.hasReceivedEndpoints();
    }

    /** Returns the counts of requests and attempts by outcome, formatted for the log. */
    final String counters() {
        try {
            return onLoop(RequestRouter::counters).get(COUNTERS_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "requests: not counted";
        } catch (ExecutionException | TimeoutException e) {
            return "requests: not counted: " + e;
        }
    }

    /**
     * Starts the shutdown: new connections are accepted for {@link #acceptsFor}, all open requests are answered, then
     * {@code whenDone} runs. The platform's clients have no other scheduler and keep using their connections; these are
     * served as long as time allows, since requests made after the last one closes are lost.
     */
    final void shutDown(Runnable whenDone) {
        loop.execute(() -> {
            shutdownStarted();
            if (shutdown.answerWithin() < Double.POSITIVE_INFINITY) {
                router.startShutdown(ticker.now() + shutdown.answerWithin());
            }
            ticker.after(acceptsFor(), () -> {
                server.stop();
                front.shutDown(whenDone);
            });
        });
    }

    /** Shuts down; completes with whether all connections were closed before the wait for them ended. */
    final CompletableFuture<Boolean> drain() {
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        shutDown(() -> drained.complete(true));
        loop.execute(() -> endDrain(shutdown.waitFor(), drained));
        return drained;
    }

    /** Ends the wait after {@code millis}, or later while a request is open that may have its answer at its own deadline. */
    private void endDrain(double millis, CompletableFuture<Boolean> drained) {
        ticker.after(millis, () -> {
            double further = shutdown.answerWithin() < Double.POSITIVE_INFINITY ? 0 : router.latestDeadline() - ticker.now();
            if (further > 0) {
                endDrain(further, drained);
            } else {
                ticker.after(SLOW_READER_GRACE_MS, () -> drained.complete(false));
            }
        });
    }

    /** Returns how long new connections are still accepted after the shutdown has started, in milliseconds. */
    final double acceptsFor() {
        return (hasInheritedSocket ? shutdown.acceptingNothing() : shutdown).acceptFor();
    }

    /** The schedule of a later shutdown. */
    final ShutdownSchedule shutdownSchedule() {
        return shutdown;
    }

    /** Replaces the schedule of a later shutdown; called on the loop. */
    final void setShutdownSchedule(ShutdownSchedule schedule) {
        shutdown = schedule;
    }

    /** Whether another process of the scheduler is alive; called from any one thread. */
    void setHasSibling(boolean has) {}

    /**
     * Returns the endpoint list for the other process of an upgrade, or null if none was received or no other process needs
     * it; safe from any thread.
     */
    SiblingList listForSibling() {
        return null;
    }

    /** Has the endpoint list of the other process of an upgrade applied on the loop; safe from any thread. */
    void siblingListRead(SiblingList list) {}

    /** Called on the loop when the shutdown starts. */
    void shutdownStarted() {}

    /** Returns the answer to {@code fleet status}, or null without a fleet; called on the loop. */
    String fleetStatus() {
        return null;
    }

    /** Writes the final state and closes the files; called after a shutdown that answered all requests. */
    void closeAfterShutdown() {}

    /** Closes the files without recording the final tokens of the limits. */
    void close() {}
}
