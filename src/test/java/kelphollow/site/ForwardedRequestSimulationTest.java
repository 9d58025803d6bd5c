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
 * Two gateways, a link that breaks, a node that counts its executions, and a store that survives: by seeds, with events in
 * any order. No client's request runs twice; context its client was told stays true; each has one final response.
 */
class ForwardedRequestSimulationTest {
    private static final int SEEDS = Integer.getInteger("kelphollow.handover.seeds", 3_000);
    private static final int STEPS = 400;
    private static final int MAX_SENDINGS = 3;
    private static final int MAX_RUNNING = 6;
    private static final double FOR_EVER = 1e9;

    private enum FrameKind { REQUEST, QUERY, RESPONSE }

    /** A frame of the link; {@code response} is null unless it is one. */
    private record Frame(FrameKind kind, Identity identity, OutcomeResponse response) {
        static Frame request(Identity identity) {
            return new Frame(FrameKind.REQUEST, identity, null);
        }

        static Frame query(Identity identity) {
            return new Frame(FrameKind.QUERY, identity, null);
        }

        static Frame response(Identity identity, OutcomeResponse response) {
            return new Frame(FrameKind.RESPONSE, identity, response);
        }
    }

    /** One client's request: its identities so far, how often it ran, and context its client was told. */
    private static final class ClientRequest {
        final List<Identity> sendings = new ArrayList<>();
        ForwardedRequest current;
        int executions;
        ForwardedRequest.Next told;
    }

    private static final class World {
        final Random random;
        final String context;
        final Map<Identity, ClientRequest> owners = new HashMap<>();
        final List<ClientRequest> all = new ArrayList<>();
        final List<ClientRequest> open = new ArrayList<>();
        final ArrayDeque<Frame> toRemote = new ArrayDeque<>();
        final ArrayDeque<Frame> toLocal = new ArrayDeque<>();
        /** Frames of a broken link that the remote side still receives, since it has not noticed the break. */
        final ArrayDeque<Frame> stale = new ArrayDeque<>();
        /** The remote store: synced intents with null, outcomes with their bytes. */
        final Map<Identity, byte[]> records = new TreeMap<>();
        /** ClientRequest of the remote side: intents that are not synced yet. */
        final List<Identity> recording = new ArrayList<>();
        /** ClientRequest of the remote side: attempts at the node. */
        final List<Identity> attempts = new ArrayList<>();
        /** ClientRequest of the remote side: context ran and is not recorded yet. */
        final List<Identity> executed = new ArrayList<>();
        /** What remote gateways that crashed had given to the node: it may still run. */
        final List<Identity> orphans = new ArrayList<>();
        boolean storeLost;
        boolean linkIsUp = true;
        long localEpoch = 1;
        long nextNumber;
        double now;
        DuplicateFilter filter = new DuplicateFilter(MAX_RUNNING, FOR_EVER, true);
        int sentAgain;
        int settledByQuery;

        World(long seed) {
            random = new Random(seed);
            context = "seed " + seed;
            filter.helloReceived("a", localEpoch, 0);
        }

        void step() {
            now += random.nextInt(5);
            switch (random.nextInt(16)) {
                case 0, 1, 2 -> arrive();
                case 3, 4, 5 -> remoteReceives();
                case 6, 7 -> localReceives();
                case 8, 9 -> recordIntent();
                case 10 -> nodeExecutes();
                case 11 -> recordOutcome();
                case 12 -> breakLink();
                case 13 -> connect();
                case 14 -> giveUp();
                default -> rareEvent();
            }
        }

        private void arrive() {
            ClientRequest request = new ClientRequest();
            all.add(request);
            open.add(request);
            send(request);
        }

        private void send(ClientRequest request) {
            Identity identity = new Identity("a", localEpoch, nextNumber++);
            request.sendings.add(identity);
            owners.put(identity, request);
            request.current = new ForwardedRequest(identity);
            request.current.begin();
            if (!linkIsUp) {
                end(request, request.current.linkBroken());
                return;
            }
            assertEquals(ForwardedRequest.Next.SEND, request.current.intentRecorded());
            if (random.nextInt(8) == 0) {
                return;                                     // its body is never complete on this link
            }
            request.current.lastByteWritten();
            toRemote.add(Frame.request(identity));
            if (random.nextInt(10) == 0) {
                toRemote.add(Frame.request(identity));
            }
        }

        /** Tells the client, if the request has ended. One that never ran may be sent again. */
        private void end(ClientRequest request, ForwardedRequest.Next next) {
            if (!request.current.isEnded()) {
                return;
            }
            if (next == ForwardedRequest.Next.NEVER_RAN && request.sendings.size() < MAX_SENDINGS && linkIsUp
                && random.nextBoolean()) {
                sentAgain++;
                send(request);
                return;
            }
            assertNull(request.told, context + ": one final response");
            request.told = next;
            open.remove(request);
            if (next == ForwardedRequest.Next.RAN) {
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
                    settledByQuery++;
                }
                end(request, request.current.responseReceived(frame.response));
            }
        }

        private <T> T draw(List<T> from) {
            return from.isEmpty() ? null : from.remove(random.nextInt(from.size()));
        }

        private void recordIntent() {
            Identity identity = draw(recording);
            if (identity != null) {
                records.put(identity, null);
                attempts.add(identity);
            }
        }

        private void nodeExecutes() {
            Identity identity = draw(random.nextInt(4) == 0 ? orphans : attempts);
            if (identity == null) {
                return;
            }
            if (random.nextInt(6) == 0 && !orphans.contains(identity) && isRunning(identity)) {
                boolean provedNeverRan = random.nextBoolean();
                if (provedNeverRan) {
                    records.remove(identity);
                    filter.neverRan(identity, now);
                } else {
                    filter.unknown(identity, now);
                }
                toLocal.add(Frame.response(identity, provedNeverRan ? OutcomeResponse.NEVER_RAN : OutcomeResponse.UNKNOWN));
                return;
            }
            ClientRequest request = owners.get(identity);
            request.executions++;
            assertEquals(1, request.executions, () -> context + ": ran twice, as " + request.sendings);
            assertNotEquals(ForwardedRequest.Next.NEVER_RAN, request.told,
                context + ": its client was told that it did not run");
            executed.add(identity);
        }

        private boolean isRunning(Identity identity) {
            return filter.query(identity, now).kind() == OutcomeResponse.Kind.RUNNING;
        }

        private void recordOutcome() {
            Identity identity = draw(executed);
            if (identity != null && isRunning(identity)) {
                byte[] outcome = identity.toString().getBytes();
                records.put(identity, outcome);
                filter.ran(identity, outcome, now);
                toLocal.add(Frame.response(identity, new OutcomeResponse(OutcomeResponse.Kind.RAN, outcome)));
            }
        }

        private void breakLink() {
            linkIsUp = false;
            if (random.nextInt(3) == 0) {
                // The remote side has not noticed the break: it receives what had reached it, at any time.
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
                if (request.current.query() == ForwardedRequest.Next.QUERY) {
                    toRemote.add(Frame.query(request.current.identity()));
                }
            }
        }

        private void giveUp() {
            if (!open.isEmpty()) {
                ClientRequest request = open.get(random.nextInt(open.size()));
                // The cancellation of an incomplete body follows on the same link: nothing of it can run.
                ForwardedRequest.Next next = request.current.giveUp();
                assertNull(request.told);
                request.told = next;
                open.remove(request);
            }
        }

        private void rareEvent() {
            switch (random.nextInt(8)) {
                case 0, 1 -> crashRemote();
                case 2 -> {
                    breakLink();
                    localEpoch++;                           // the local gateway crashes: its clients are told nothing
                    nextNumber = 0;
                    open.clear();
                }
                case 3 -> {                                 // something in the remote store is lost
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
            filter = new DuplicateFilter(MAX_RUNNING, FOR_EVER, !storeLost);
            records.forEach((identity, outcome) -> filter.restore(identity, outcome, now));
        }

        /** Lets everything that is open end. */
        void settle() {
            for (int i = 0; i < 2_000 && !open.isEmpty(); i++) {
                connect();
                remoteReceives();
                localReceives();
                recordIntent();
                nodeExecutes();
                recordOutcome();
                if (i % 50 == 49) {
                    open.forEach(waiting -> {
                        if (waiting.current.query() == ForwardedRequest.Next.QUERY) {
                            toRemote.add(Frame.query(waiting.current.identity()));
                        }
                    });
                }
            }
            while (!open.isEmpty()) {
                giveUp();
            }
            assertTrue(all.stream().allMatch(request -> request.executions <= 1), context);
        }
    }

    @Test void nothingRunsTwiceAndWhatAClientWasToldStaysTrue() {
        long sentAgain = 0;
        long settledByQuery = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            World world = new World(seed);
            for (int i = 0; i < STEPS; i++) {
                world.step();
            }
            world.settle();
            sentAgain += world.sentAgain;
            settledByQuery += world.settledByQuery;
        }
        // The simulation is worth something only if these occur often.
        assertTrue(sentAgain > SEEDS && settledByQuery > SEEDS,
            sentAgain + " sent again, " + settledByQuery + " settled by a query");
    }
}
