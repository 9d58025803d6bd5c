package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import kelphollow.program.FakeObjectServer.Fault;
import kelphollow.program.FakeObjectServer.Fault.Kind;
import kelphollow.program.FakeObjectStore.Stored;
import kelphollow.routing.Invariant;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The object API from request to response, between a test client and a fake object server. */
@org.junit.jupiter.api.Timeout(15)
class ObjectFrontTest {
    private static final byte[] CONTENT = "0123456789abcdefghijklmnopqrstuvwxyz".getBytes();
    // After this time no attempt can still take effect: a node hangs for 25 s at most, and works for a write's deadline.
    private static final int SETTLED_MS = 28_100;
    private static final int NODE_HANGS_MS = 8_000;
    private FakeObjectServer server;
    private ServerHarness harness;
    private HttpTestClient client;

    @BeforeEach void start() throws Exception {
        server = new FakeObjectServer();
        harness = gateway();
        client = new HttpTestClient(harness.address);
        server.objects.put("/symbols/a", new Stored(CONTENT, "\"e1\""));
    }

    private ServerHarness gateway(InetSocketAddress... others) throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        return ServerHarness.objects(Map.of("objects", objects), server.address());
    }

    @AfterEach void stop() throws Exception {
        client.close();
        harness.close();
        server.close();
        assertEquals(0, Invariant.broken());
    }

    /** Advances the clock until the server receives the next request, such as a retry after its backoff. */
    private String awaitNextRequest() throws Exception {
        for (int i = 0; i < 2_000; i++) {
            String line = server.seen.poll(5, TimeUnit.MILLISECONDS);
            if (line != null) {
                return line;
            }
            harness.ticker.advance(1);
        }
        return fail("no request came");
    }

    /** Makes a call whose response needs backoffs to elapse: advances the clock until it is answered. */
    private HttpTestClient.Response callAdvancingClock(String line, byte[] body) throws Exception {
        try (HttpTestClient other = new HttpTestClient(harness.address)) {
            var answer = java.util.concurrent.CompletableFuture.supplyAsync(() -> {
                try {
                    return other.call(line, "", body);
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            for (int i = 0; i < 1_500 && !answer.isDone(); i++) {
                harness.ticker.advance(1);
                try {
                    answer.get(2, TimeUnit.MILLISECONDS);   // the clock must not outrun the sockets
                } catch (java.util.concurrent.TimeoutException e) {
                    // not answered yet: advance the clock further
                }
            }
            return answer.get(10, TimeUnit.SECONDS);
        }
    }

    private String begin(String path) throws Exception {
        String answer = client.call("POST " + path + "?uploads", "", null).text();
        server.seen.take();
        return answer.replaceAll(".*<UploadId>(.*)</UploadId>.*", "$1");
    }

    // ---------------------------------------------------------------- plain objects

    @Test void anObjectIsWrittenReadAndDeleted() throws Exception {
        assertEquals(200, client.call("PUT /symbols/b", "Content-Type: text/plain\r\n", CONTENT).status());
        assertArrayEquals(CONTENT, client.call("GET /symbols/b", "", null).body());
        assertEquals("36", client.call("HEAD /symbols/b", "", null).headers().get("Content-Length"));
        assertEquals(204, client.call("DELETE /symbols/b", "", null).status());
        assertEquals(404, client.call("GET /symbols/b", "", null).status());
        assertEquals(1, server.objectWrites.get("/symbols/b"));
    }

    @Test void largeBodiesStreamInBoundedMemory() throws Exception {
        byte[] large = new byte[48 << 20];
        new java.util.Random(1).nextBytes(large);
        assertEquals(200, client.call("PUT /symbols/large", "Expect: 100-continue\r\n", large).status());
        client.send("GET /symbols/large", "", null);
        ServerHarness.runLoopOnce(harness.loop);
        assertArrayEquals(large, client.readResponse().body());
        long held = io.netty.buffer.PooledByteBufAllocator.class.cast(allocator()).metric().usedDirectMemory();
        assertTrue(held < 4 << 20, held + " bytes of buffers for a body of " + large.length);
    }

    private static io.netty.buffer.ByteBufAllocator allocator() throws Exception {
        var field = kelphollow.transport.Server.class.getDeclaredField("ALLOCATOR");
        field.setAccessible(true);
        return (io.netty.buffer.ByteBufAllocator) field.get(null);
    }

    /** Guards against a connection that hangs forever once only part of a request head has arrived. */
    @Test void aHeadInSegmentsIsReassembledAndAnEndlessOneIsRejected() throws Exception {
        for (String piece : new String[] {"GET /symb", "ols/a HTTP/1.1\r\nHo", "st: h\r\n\r\n"}) {
            client.socket.getOutputStream().write(piece.getBytes());
            ServerHarness.runLoopOnce(harness.loop);
        }
        assertArrayEquals(CONTENT, client.readResponse().body());
        try (HttpTestClient other = new HttpTestClient(harness.address)) {
            other.socket.getOutputStream().write(("GET /symbols/a HTTP/1.1\r\nX: " + "x".repeat(16 * 1024 + 1)).getBytes());
            assertEquals(400, other.readResponse().status());
        }
    }

    @Test void aClientThatSendsHalfAHeadIsDisconnectedAfterATimeout() throws Exception {
        client.socket.getOutputStream().write("GET /symb".getBytes());
        try (HttpTestClient other = new HttpTestClient(harness.address)) {
            assertEquals(200, other.call("GET /symbols/a", "", null).status());   // both connections are accepted by now
        }
        harness.ticker.advance(10_001);
        assertEquals(0, client.readResponse().status(), "closed without a response");
    }

    @Test void invalidInputGetsAnErrorOnItsConnectionOnly() throws Exception {
        for (String[] bad : new String[][] {{"GET /nowhere/a", "", "404"}, {"PATCH /symbols/a", "", "405"},
            {"GET /symbols", "", "501"}, {"GET /symbols/a?acl", "", "501"},
            {"PUT /symbols/a", "Transfer-Encoding: chunked\r\n", "411"}, {"PUT /symbols/a", "", "411"},
            {"PUT /symbols/a?uploadId=u&partNumber=0", "Content-Length: 1\r\n", "400"},
            {"PUT /symbols/a", "Content-Length: 9000000000\r\n", "400"}}) {
            try (HttpTestClient other = new HttpTestClient(harness.address)) {
                HttpTestClient.Response answer = assertDoesNotThrow(() -> other.call(bad[0], bad[1], null), bad[0] + bad[1]);
                assertEquals(Integer.parseInt(bad[2]), answer.status(), bad[0]);
                assertTrue(answer.text().startsWith("<?xml") && answer.text().contains("<Code>"), answer.text());
            }
        }
        assertEquals(200, client.call("GET /symbols/a", "", null).status());
        assertEquals(1, server.seen.size(), "none of them reached a server");
    }

    // ---------------------------------------------------------------- responses truncated mid-body

    @Test void aTruncatedRangeIsResumedAtItsOffsetUnnoticedByTheClient() throws Exception {
        server.faults.add(new Fault("GET", Kind.CUT, 4, null));
        client.send("GET /symbols/a", "Range: bytes=10-19\r\n", null);
        assertEquals("GET /symbols/a HTTP/1.1 bytes=10-19", server.seen.take());
        assertEquals("GET /symbols/a HTTP/1.1 bytes=14-19 \"e1\"", awaitNextRequest());
        HttpTestClient.Response answer = client.readResponse();
        assertEquals(206, answer.status());
        assertEquals("abcdefghij", answer.text());
    }

    @Test void aFullObjectThatIsTruncatedTwiceIsResumedBothTimes() throws Exception {
        server.faults.add(new Fault("GET", Kind.CUT, 5, null));
        server.faults.add(new Fault("GET", Kind.CUT, 6, null));
        client.send("GET /symbols/a", "", null);
        assertEquals("GET /symbols/a HTTP/1.1", server.seen.take());
        assertEquals("GET /symbols/a HTTP/1.1 bytes=5-35 \"e1\"", awaitNextRequest());
        assertEquals("GET /symbols/a HTTP/1.1 bytes=11-35 \"e1\"", awaitNextRequest());
        assertArrayEquals(CONTENT, client.readResponse().body());
    }

    /** Guards against a response body assembled from two versions of an object. */
    @Test void aTruncatedRangeOfAnObjectThatHasChangedEndsShort() throws Exception {
        server.afterCut = () -> server.objects.put("/symbols/a", new Stored("other".repeat(10).getBytes(), "\"e2\""));
        server.faults.add(new Fault("GET", Kind.CUT, 4, null));
        client.send("GET /symbols/a", "Range: bytes=10-19\r\n", null);
        server.seen.take();
        assertEquals("GET /symbols/a HTTP/1.1 bytes=14-19 \"e1\"", awaitNextRequest());
        HttpTestClient.Response answer = client.readResponse();
        assertEquals(206, answer.status());
        assertFalse(answer.complete());
        assertEquals("abcd", answer.text());
    }

    @Test void aTruncatedRangeEndsShortOnceItsAttemptsAreUsedUp() throws Exception {
        for (int i = 0; i < 3; i++) {
            server.faults.add(new Fault("GET", Kind.CUT, 1, null));
        }
        client.send("GET /symbols/a", "", null);
        for (int i = 0; i < 3; i++) {
            awaitNextRequest();
        }
        HttpTestClient.Response answer = client.readResponse();
        assertFalse(answer.complete());
        assertEquals("012", answer.text());
        assertTrue(server.seen.isEmpty());
    }

    // ---------------------------------------------------------------- parts that are sent twice

    @Test void anUploadIsCompletedAndEachPartStoredOnce() throws Exception {
        String id = begin("/symbols/m");
        for (int n = 1; n <= 3; n++) {
            assertEquals(200, client.call("PUT /symbols/m?partNumber=" + n + "&uploadId=" + id, "", CONTENT).status());
        }
        assertTrue(client.call("GET /symbols/m?uploadId=" + id, "", null).text().contains("<PartNumber>3</PartNumber>"));
        assertEquals(200,
            client.call("POST /symbols/m?uploadId=" + id, "", "<CompleteMultipartUpload/>".getBytes()).status());
        assertEquals(3 * CONTENT.length, server.objects.get("/symbols/m").bytes().length);
        assertEquals(Map.of(id + "#1", 1, id + "#2", 1, id + "#3", 1), server.partWrites);
    }

    /** Guards against a body that is consumed, and lost, before the node has sent 100 Continue. */
    @Test void aBodyThatArrivesWithItsHeadWaitsForTheNodesContinue() throws Exception {
        String id = begin("/symbols/m");
        assertEquals(200, client.callInOneWrite("PUT /symbols/m?partNumber=1&uploadId=" + id, CONTENT).status());
        assertEquals(200, client.callInOneWrite("PUT /symbols/m?partNumber=2&uploadId=" + id, CONTENT).status());
        assertEquals(200, client.callInOneWrite("PUT /symbols/n", CONTENT).status());
    }

    @Test void aPartSentTwiceConcurrentlyIsStoredOnceAndBothGetTheResponse() throws Exception {
        String id = begin("/symbols/m");
        Fault hold = Fault.of("PUT", Kind.HOLD);
        server.faults.add(hold);
        client.send("PUT /symbols/m?partNumber=1&uploadId=" + id, "", CONTENT);
        server.seen.take();
        try (HttpTestClient second = new HttpTestClient(harness.address)) {
            second.send("PUT /symbols/m?partNumber=1&uploadId=" + id, "", CONTENT);
            hold.gate().countDown();
            HttpTestClient.Response first = client.readResponse();
            HttpTestClient.Response again = second.readResponse();
            assertEquals(200, first.status());
            assertEquals(200, again.status());
            assertEquals(first.headers().get("ETag"), again.headers().get("ETag"));
        }
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    @Test void aPartSentAgainLaterGetsTheRecordedResponseOrAConflict() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        String etag = client.call(line, "", CONTENT).headers().get("ETag");
        HttpTestClient.Response again = client.call(line, "", CONTENT);
        assertEquals(200, again.status());
        assertEquals(etag, again.headers().get("ETag"));
        assertEquals(409, client.call(line, "", "other".getBytes()).status());
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
        assertEquals(1, server.seen.size(), "the server received one request");
    }

    @Test void aPartOfUnknownOutcomeIsQueriedBeforeItIsSentAgain() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        server.faults.add(Fault.of("PUT", Kind.CRASH_AFTER));
        assertEquals(502, client.call(line, "", CONTENT).status());
        assertEquals(409, callAdvancingClock(line, "other".getBytes()).status());
        HttpTestClient.Response again = client.call(line, "", CONTENT);
        assertEquals(200, again.status());
        assertEquals(server.uploads.get(id).get(1).etag(), again.headers().get("ETag"));
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    /** Guards against resending a part that is not listed yet while an earlier attempt may still be storing it. */
    @Test void aPartIsRejectedWhileAnEarlierAttemptMayStillBeRunning() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        server.faults.add(Fault.of("PUT", Kind.CRASH_BEFORE));
        assertEquals(502, callAdvancingClock(line, CONTENT).status());
        HttpTestClient.Response early = callAdvancingClock(line, CONTENT);
        assertEquals(503, early.status());
        assertTrue(Integer.parseInt(early.headers().get("Retry-After")) >= 1);
        assertEquals(Map.of(), server.partWrites);
        harness.ticker.advance(SETTLED_MS);
        assertEquals(200, callAdvancingClock(line, CONTENT).status());
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    /** Guards against a part that is stored twice because its node hung for longer than a write's deadline. */
    @Test void aPartThatAHangingNodeHoldsIsNotSentAgain() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        Fault hang = Fault.of("PUT", Kind.HOLD);
        server.faults.add(hang);
        client.send(line, "", CONTENT);
        server.held.take();
        harness.runFor(4_000);
        assertEquals(504, client.readResponse().status());
        harness.ticker.advance(NODE_HANGS_MS);

        HttpTestClient.Response again = callAdvancingClock(line, CONTENT);

        assertEquals(503, again.status());
        assertEquals("1", again.headers().get("Retry-After"), "the node may list the part soon");
        hang.gate().countDown();
        while (!server.partWrites.containsKey(id + "#1")) {
            Thread.sleep(5);
        }
        assertEquals(200, callAdvancingClock(line, CONTENT).status());
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    /** Guards against a part that is stored twice because an abort that its node did not carry out had forgotten it. */
    @Test void aPartOfUnknownOutcomeStaysUnknownWhenAnAbortIsTurnedAway() throws Exception {
        harness.ticker.advance(SETTLED_MS);                   // nothing of an earlier process can take effect any more
        client.close();                                       // idle for too long
        client = new HttpTestClient(harness.address);
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        Fault hang = Fault.of("PUT", Kind.HOLD);
        server.faults.add(hang);
        client.send(line, "", CONTENT);
        server.held.take();
        harness.runFor(4_000);
        assertEquals(504, client.readResponse().status());
        server.faults.add(Fault.of("DELETE", Kind.CRASH_BEFORE));
        assertEquals(502, callAdvancingClock("DELETE /symbols/m?uploadId=" + id, new byte[0]).status());

        assertEquals(503, callAdvancingClock(line, CONTENT).status(), "the node may still store it");

        hang.gate().countDown();
        while (!server.partWrites.containsKey(id + "#1")) {
            Thread.sleep(5);
        }
        assertEquals(200, callAdvancingClock(line, CONTENT).status());
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    /** Guards against a part whose first attempt is forgotten because a later one was rejected before it was sent. */
    @Test void aPartOfUnknownOutcomeStaysUnknownWhenTheNextAttemptIsRejected() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=1&uploadId=" + id;
        server.faults.add(Fault.of("PUT", Kind.CRASH_BEFORE));
        assertEquals(502, callAdvancingClock(line, CONTENT).status());
        harness.ticker.advance(SETTLED_MS);
        for (int i = 0; i < 3; i++) {
            server.faults.add(Fault.of("PUT", Kind.REFUSE));
        }
        assertEquals(503, callAdvancingClock(line, CONTENT).status());
        server.faults.clear();
        server.seen.clear();

        int status = 503;
        for (int i = 0; i < 10 && status == 503; i++) {       // the node counts as at capacity for a while
            harness.runFor(1_000);
            status = callAdvancingClock(line, CONTENT).status();
        }

        assertEquals(200, status);
        assertTrue(server.seen.take().startsWith("GET"), "the node is queried first");
        assertEquals(Map.of(id + "#1", 1), server.partWrites);
    }

    @Test void afterARestartPartsAreQueriedBeforeTheyAreSent() throws Exception {
        String id = begin("/symbols/m");
        String line = "PUT /symbols/m?partNumber=";
        assertEquals(200, client.call(line + "1&uploadId=" + id, "", CONTENT).status());
        client.close();
        harness.close();
        harness = gateway();
        client = new HttpTestClient(harness.address);
        harness.ticker.advance(SETTLED_MS);
        assertEquals(200, callAdvancingClock(line + "1&uploadId=" + id, CONTENT).status());
        assertEquals(200, callAdvancingClock(line + "2&uploadId=" + id, CONTENT).status());
        assertEquals(404, callAdvancingClock(line + "1&uploadId=none", CONTENT).status());
        assertEquals(Map.of(id + "#1", 1, id + "#2", 1), server.partWrites);
    }

    // ---------------------------------------------------------------- deadlines, crashes, drains

    @Test void aReadThatIsNotAnsweredEndsAtItsDeadline() throws Exception {
        Fault hold = Fault.of("GET", Kind.HOLD);
        server.faults.add(hold);
        client.send("GET /symbols/a", "", null);
        server.seen.take();
        harness.ticker.advance(1_200);
        assertEquals(504, client.readResponse().status());
        hold.gate().countDown();
    }

    @Test void aServerCrashFailsAWriteAndAReadIsRejectedWithRetryAfter() throws Exception {
        server.faults.add(Fault.of("PUT", Kind.CRASH_BEFORE));
        assertEquals(502, client.call("PUT /symbols/b", "", CONTENT).status());
        assertEquals(1, server.seen.size(), "a write that may have run is not sent again");
        server.close();
        HttpTestClient.Response answer = callAdvancingClock("GET /symbols/a", null);
        assertEquals(503, answer.status());
        assertTrue(Integer.parseInt(answer.headers().get("Retry-After")) >= 1);
    }

    /** Guards against resending a body of which a part has already been consumed. */
    @Test void aWriteThatIsRejectedBeforeItsBodyIsRetried() throws Exception {
        server.faults.add(Fault.of("PUT", Kind.REFUSE));
        client.send("PUT /symbols/b", "", CONTENT);
        awaitNextRequest();
        awaitNextRequest();
        assertEquals(200, client.readResponse().status());
        assertEquals(1, server.objectWrites.get("/symbols/b"));
    }

    @Test void acceptedRequestsAreAnsweredBeforeTheGatewayExits() throws Exception {
        Fault hold = Fault.of("GET", Kind.HOLD);
        server.faults.add(hold);
        client.send("GET /symbols/a", "", null);
        server.seen.take();
        CountDownLatch left = new CountDownLatch(1);
        harness.sigtermAndStopAccepting(left::countDown);
        assertEquals(1, left.getCount(), "the gateway waits for accepted requests");
        hold.gate().countDown();
        assertArrayEquals(CONTENT, client.readResponse().body());
        client.close();
        assertTrue(left.await(20, TimeUnit.SECONDS));
    }
}
