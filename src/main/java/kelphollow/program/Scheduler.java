package kelphollow.program;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import kelphollow.routing.RequestRouter;
import kelphollow.routing.Ticker;
import kelphollow.transport.Front;
import kelphollow.transport.Server;

/**
 * One scheduler: a front, the router with its decision module, a backend and a source of endpoints, all on one event loop.
 * Its methods are for other threads than the loop's.
 */
abstract sealed class Scheduler permits PlatformScheduler, ObjectScheduler {
    // In milliseconds.
    private static final long COUNTERS_TIMEOUT = 100;

    private final EventLoop loop;
    private final Ticker ticker;
    private final Server server;
    private ShutdownSchedule shutdown;
    private Front front;
    private RequestRouter router;
    private volatile boolean hasInheritedSocket;

    /** {@code sockets} are the descriptors that the program may use. */
    Scheduler(EventLoop loop, Ticker ticker, int sockets, ShutdownSchedule shutdown) {
        this.loop = loop;
        this.ticker = ticker;
        this.server = new Server(clientSockets(sockets));
        this.shutdown = shutdown;
    }

    /** Half of the descriptors are for clients, a third for nodes, the rest for what the program itself holds open. */
    static int clientSockets(int sockets) {
        return sockets / 2;
    }

    static int nodeSockets(int sockets) {
        return sockets / 3;
    }

    /** Sets the parts once they are wired, on the loop and before anybody listens. */
    final void wired(RequestRouter wiredRouter, Front wiredFront) {
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

    /** Accepts clients from the socket that the platform handed down; nothing new is accepted at once on leaving. */
    final InetSocketAddress listen(ServerSocketChannel inherited) {
        shutdown = shutdown.acceptingNothing();
        hasInheritedSocket = true;
        return server.listen(loop, inherited, front);
    }

    /** Listens; returns the address with the port that was given. */
    final InetSocketAddress listen(InetSocketAddress address) {
        return server.listen(loop, address, front);
    }

    /** Whether clients come through a socket that the platform handed down. */
    final boolean hasInheritedSocket() {
        return hasInheritedSocket;
    }

    /** What the process before left of volumes' limits; before the first request. */
    final void restoreLimits(Map<String, Double> tokens) {
        loop.submit(() -> router.restoreLimits(tokens)).syncUninterruptibly();
    }

    /** Runs the step on the loop that owns the router; its result comes when it has run. */
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

    /** What became of requests and attempts, for the log. */
    final String counters() {
        try {
            return onLoop(RequestRouter::counters).get(COUNTERS_TIMEOUT, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "requests: not counted";
        } catch (ExecutionException | TimeoutException e) {
            return "requests: not counted: " + e;
        }
    }

    /**
     * Accepts new connections a little longer, answers all that was taken, then runs the task. The platform's clients have
     * no other scheduler and go on using the connections they have: those are served for as long as there is time, since
     * what they request after the last one was closed is lost to them.
     */
    final void leave(Runnable whenLeft) {
        loop.execute(() -> {
            shutdownStarted();
            if (shutdown.answerWithin() < Double.POSITIVE_INFINITY) {
                router.startShutdown(ticker.now() + shutdown.answerWithin());
            }
            ticker.after(shutdown.acceptFor(), () -> {
                server.stop();
                front.shutDown(whenLeft);
            });
        });
    }

    /** How long leaving takes until nothing new is accepted, in milliseconds. */
    final double acceptsFor() {
        return shutdown.acceptFor();
    }

    /** Leaving has begun; on the loop. */
    void shutdownStarted() {}

    /** What {@code fleet status} shows, or null without a fleet; on the loop. */
    String fleetStatus() {
        return null;
    }

    /** After everybody has left: what must outlive the end is written, and its files are let go. */
    void end() {}

    /** Lets the files go without a word on what was spent. */
    void close() {}
}
