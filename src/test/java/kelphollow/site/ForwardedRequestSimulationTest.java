package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Seeded simulation of two gateways, a link that breaks, a node that counts executions, and a store that survives crashes,
 * with events in random order. Checks that no client's request runs twice, that each client gets one final response, and
 * that what the client was told stays true.
 */
class ForwardedRequestSimulationTest {
    private static final int SEEDS = Integer.getInteger("kelphollow.handover.seeds", 3_000);
    private static final int STEPS = 400;
    private static final int MAX_TRANSMISSIONS = 3;
    private static final int MAX_RUNNING = 6;
    private static final double UNLIMITED_MS = 1e9;

    private enum FrameKind { REQUEST, QUERY, RESPONSE }

    /** A frame on the link; {@code response} is null for requests and queries. */
    private record Frame(FrameKind kind, RequestIdentity identity, OutcomeResponse response) {
        static Frame request(RequestIdentity identity) {
            return new Frame(FrameKind.REQUEST, identity, null);
        }

        static Frame query(RequestIdentity identity) {
            return new Frame(FrameKind.QUERY, identity, null);
        }

        static Frame response(RequestIdentity identity, OutcomeResponse response) {
            return new Frame(FrameKind.RESPONSE, identity, response);
        }
    }

    /** One client's request: its identities so far, how often it ran, and the result that the client was told. */
    private static final class ClientRequest {
        final List<RequestIdentity> transmissions = new ArrayList<>();
        ForwardedRequest current;
        int executions;
        ForwardedRequest.NextStep finalStep;
    }

    private static final class World {
        final Random random;
        final String context;
        final Map<RequestIdentity, ClientRequest> owners = new HashMap<>();
        final List<ClientRequest> all = new ArrayList<>();
        final List<ClientRequest> open = new ArrayList<>();
        final ArrayDeque<Frame> toRemote = new ArrayDeque<>();
        final ArrayDeque<Frame> toLocal = new ArrayDeque<>();
        /** Frames of a broken link that the remote side still receives, since it has not detected the break. */
        final ArrayDeque<Frame> stale = new ArrayDeque<>();
        /** The remote store: null for a synced intent, else the outcome. */
        final Map<RequestIdentity, byte[]> records = new TreeMap<>();
        /** Requests at the remote side whose intents are not synced yet. */
        final List<RequestIdentity> recording = new ArrayList<>();
        /** Requests at the remote side that the node was given. */
        final List<RequestIdentity> attempts = new ArrayList<>();
        /** Requests at the remote side that ran and whose outcomes are not recorded yet. */
        final List<RequestIdentity> executed = new ArrayList<>();
        /** Requests that crashed remote gateways had given to the node, which may still run. */
        final List<RequestIdentity> orphans = new ArrayList<>();
        boolean storeLost;
        boolean linkIsUp = true;
        long localEpoch = 1;
        long nextNumber;
        double now;
        DuplicateFilter filter = new DuplicateFilter(MAX_RUNNING, UNLIMITED_MS, true);
        int sentAgain;
        int resolvedByQuery;

        World(long seed) {
            random = new Random(seed);
            context = "seed " + seed;
            filter.helloReceived("a", localEpoch, 0);
        }

        void step() {
            now += random.nextInt(5);
            switch (random.nextInt(16)) {
                case 0, 1, 2 -> receiveClientRequest();
                case 3, 4, 5 -> remoteReceives();
                case 6, 7 -> localReceives();
                case 8, 9 -> recordIntent();
                case 10 -> nodeExecutes();
                case 11 -> recordOutcome();
                case 12 -> breakLink();
                case 13 -> connect();
                case 14 -> abandon();
                default -> rareEvent();
            }
        }

        private void receiveClientRequest() {
            ClientRequest request = new ClientRequest();
            all.add(request);
            open.add(request);
            send(request);
        }

        private void send(ClientRequest request) {
            RequestIdentity identity = new RequestIdentity("a", localEpoch, nextNumber++);
            request.transmissions.add(identity);
            owners.put(identity, request);
            request.current = new ForwardedRequest(identity);
            request.current.begin();
            if (!linkIsUp) {
                end(request, request.current.linkBroken());
                return;
            }
            assertEquals(ForwardedRequest.NextStep.SEND, request.current.intentRecorded());
            if (random.nextInt(8) == 0) {
                return;                                     // the body is never completed on this link
            }
            request.current.lastByteWritten();
            toRemote.add(Frame.request(identity));
            if (random.nextInt(10) == 0) {
                toRemote.add(Frame.request(identity));
            }
        }

        /** Responds to the client if the request has ended; sends some requests that never ran again. */
        private void end(ClientRequest request, ForwardedRequest.NextStep next) {
            if (!request.current.isEnded()) {
                return;
            }
            if (next == ForwardedRequest.NextStep.NEVER_RAN && request.transmissions.size() < MAX_TRANSMISSIONS && linkIsUp
                && random.nextBoolean()) {
                sentAgain++;
                send(request);
                return;
            }
            assertNull(request.finalStep, context + ": second final response");
            request.finalStep = next;
            open.remove(request);
            if (next == ForwardedRequest.NextStep.RAN) {
                assertEquals(1, request.executions, context);
                assertEquals(request.current.identity().toString(), new String(request.current.outcome()), context);
            }
        }

        private void remoteReceives() {
            Frame frame = !stale.isEmpty() && random.nextInt(4) == 0 ? stale.poll() : toRemote.poll();
            if (frame == null) {
                return;
            }
            if (frame.kind == FrameKind.QUERY) {
                toLocal.add(Frame.response(frame.identity, filter.query(frame.identity, now)));
                return;
            }
            switch (filter.admit(frame.identity, now)) {
                case RUN -> recording.add(frame.identity);
                case AT_CAPACITY -> toLocal.add(Frame.response(frame.identity, OutcomeResponse.NEVER_RAN));
                case IN_PROGRESS -> {}
                default -> toLocal.add(Frame.response(frame.identity, filter.query(frame.identity, now)));
            }
        }

        private void localReceives() {
            Frame frame = toLocal.poll();
            if (frame == null) {
                return;
            }
            ClientRequest request = owners.get(frame.identity);
            if (request.current.identity().equals(frame.identity) && open.contains(request)) {
                if (request.current.isOutcomeUnknown() && frame.response.kind() != OutcomeResponse.Kind.UNKNOWN) {
                    resolvedByQuery++;
                }
                end(request, request.current.responseReceived(frame.response));
            }
        }

        private <T> T draw(List<T> from) {
            return from.isEmpty() ? null : from.remove(random.nextInt(from.size()));
        }

        private void recordIntent() {
            RequestIdentity identity = draw(recording);
            if (identity != null) {
                records.put(identity, null);
                attempts.add(identity);
            }
        }

        private void nodeExecutes() {
            RequestIdentity identity = draw(random.nextInt(4) == 0 ? orphans : attempts);
            if (identity == null) {
                return;
            }
            if (random.nextInt(6) == 0 && !orphans.contains(identity) && isRunning(identity)) {
                boolean provablyNeverRan = random.nextBoolean();
                if (provablyNeverRan) {
                    records.remove(identity);
                    filter.markNeverRan(identity, now);
                } else {
                    filter.markUnknown(identity, now);
                }
                toLocal.add(Frame.response(identity, provablyNeverRan ? OutcomeResponse.NEVER_RAN
                    : OutcomeResponse.UNKNOWN));
                return;
            }
            ClientRequest request = owners.get(identity);
            request.executions++;
            assertEquals(1, request.executions, () -> context + ": ran more than once, sent as " + request.transmissions);
            assertNotEquals(ForwardedRequest.NextStep.NEVER_RAN, request.finalStep,
                context + ": ran after the client was told that it never ran");
            executed.add(identity);
        }

        private boolean isRunning(RequestIdentity identity) {
            return filter.query(identity, now).kind() == OutcomeResponse.Kind.RUNNING;
        }

        private void recordOutcome() {
            RequestIdentity identity = draw(executed);
            if (identity != null && isRunning(identity)) {
                byte[] outcome = identity.toString().getBytes();
                records.put(identity, outcome);
                filter.markRan(identity, outcome, now);
                toLocal.add(Frame.response(identity, new OutcomeResponse(OutcomeResponse.Kind.RAN, outcome)));
            }
        }

        private void breakLink() {
            linkIsUp = false;
            if (random.nextInt(3) == 0) {
                // The remote side has not detected the break: it may receive frames in transit at any later time.
                stale.addAll(toRemote);
            }
            toRemote.clear();
            toLocal.clear();
            for (ClientRequest request : List.copyOf(open)) {
                end(request, request.current.linkBroken());
            }
        }

        private void connect() {
            if (linkIsUp) {
                return;
            }
            linkIsUp = true;
            assertTrue(filter.helloReceived("a", localEpoch, nextNumber));
            for (ClientRequest request : List.copyOf(open)) {
                if (request.current.query() == ForwardedRequest.NextStep.QUERY) {
                    toRemote.add(Frame.query(request.current.identity()));
                }
            }
        }

        private void abandon() {
            if (!open.isEmpty()) {
                ClientRequest request = open.get(random.nextInt(open.size()));
                // An incomplete body is cancelled on the same link, so the request cannot run.
                ForwardedRequest.NextStep next = request.current.abandon();
                assertNull(request.finalStep);
                request.finalStep = next;
                open.remove(request);
            }
        }

        private void rareEvent() {
            switch (random.nextInt(8)) {
                case 0, 1 -> crashRemote();
                case 2 -> {
                    breakLink();
                    localEpoch++;                           // the local gateway crashes: its clients get no response
                    nextNumber = 0;
                    open.clear();
                }
                case 3 -> {                                 // the remote store loses records
                    if (random.nextInt(4) == 0 && !records.isEmpty()) {
                        records.keySet().removeIf(identity -> random.nextBoolean());
                        storeLost = true;
                        crashRemote();
                    }
                }
                default -> {}
            }
        }

        private void crashRemote() {
            breakLink();
            stale.clear();
            recording.clear();
            orphans.addAll(attempts);
            attempts.clear();
            executed.clear();
            filter = new DuplicateFilter(MAX_RUNNING, UNLIMITED_MS, !storeLost);
            records.forEach((identity, outcome) -> filter.restore(identity, outcome, now));
        }

        /** Runs until all open requests have ended. */
        void finishOpenRequests() {
            for (int i = 0; i < 2_000 && !open.isEmpty(); i++) {
                connect();
                remoteReceives();
                localReceives();
                recordIntent();
                nodeExecutes();
                recordOutcome();
                if (i % 50 == 49) {
                    open.forEach(waiting -> {
                        if (waiting.current.query() == ForwardedRequest.NextStep.QUERY) {
                            toRemote.add(Frame.query(waiting.current.identity()));
                        }
                    });
                }
            }
            while (!open.isEmpty()) {
                abandon();
            }
            assertTrue(all.stream().allMatch(request -> request.executions <= 1), context);
        }
    }

    @Test void noRequestRunsTwiceAndNoFinalResponseBecomesFalse() {
        long sentAgain = 0;
        long resolvedByQuery = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            World world = new World(seed);
            for (int i = 0; i < STEPS; i++) {
                world.step();
            }
            world.finishOpenRequests();
            sentAgain += world.sentAgain;
            resolvedByQuery += world.resolvedByQuery;
        }
        // The simulation is meaningful only if both occur often.
        assertTrue(sentAgain > SEEDS && resolvedByQuery > SEEDS,
            sentAgain + " sent again, " + resolvedByQuery + " resolved by a query");
    }
}
