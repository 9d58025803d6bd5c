package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import kelphollow.routing.EndpointUpdateBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A new configuration under load, and what the program does about the service it names. */
@Timeout(20)
class ReloadTest {
    @Test void aNewDiscoveryThatSaysNothingIsAskedAgainSoon() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery();
             FakeDiscovery next = new FakeDiscovery();
             ServerHarness harness = ServerHarness.resp(old.address())) {
            harness.reload(next.address());
            assertEquals("/catalog/members", next.asked.poll(10, TimeUnit.SECONDS));
            harness.ticker.advance(3_200);   // its news counts as told after 4 s
            assertEquals("/catalog/members", next.asked.poll(10, TimeUnit.SECONDS));
        }
    }

    @Test void interimAnswersOfDiscoveryArePassedOver() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
             ServerHarness harness = ServerHarness.resp((InetSocketAddress) discovery.getLocalSocketAddress());
             Socket watch = discovery.accept()) {
            BufferedReader in = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.US_ASCII));
            while (!in.readLine().isEmpty()) {}
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
            watch.getOutputStream().write(("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
                + list.length() + "\r\n\r\n" + list).getBytes(StandardCharsets.US_ASCII));
            try (Socket next = discovery.accept()) {   // a connection carries no call right behind an answer
                in = new BufferedReader(new InputStreamReader(next.getInputStream(), StandardCharsets.US_ASCII));
                assertTrue(in.readLine().startsWith("GET /catalog/members?index=7&wait="));
            }
        }
    }

    @Test void theObjectApiFollowsANewFile() throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.part(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        try (FakeObjectServer old = new FakeObjectServer(); FakeObjectServer next = new FakeObjectServer();
             ServerHarness harness = ServerHarness.objects(Map.of("objects", objects), old.address());
             HttpTestClient client = new HttpTestClient(harness.address)) {
            old.objects.put("/symbols/a", new FakeObjectStore.Stored("old".getBytes(), "\"e\""));
            next.objects.put("/symbols/a", new FakeObjectStore.Stored("next".getBytes(), "\"e\""));
            assertEquals("old", client.call("GET /symbols/a", "", null).text());
            harness.reload(Map.of("objects", objects), next.address());
            assertEquals("next", client.call("GET /symbols/a", "", null).text());
        }
    }

    @Test void theNewDiscoveryIsAskedForTheWholeListAndTheOldOneNoMore() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery(); FakeDiscovery next = new FakeDiscovery()) {
            try (ServerHarness harness = ServerHarness.resp(old.address())) {
                assertTrue(old.asked.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=1&wait="));
                harness.reload(next.address());
                assertEquals("/catalog/members", next.asked.poll(10, TimeUnit.SECONDS),
                    "versions of the old one mean nothing");
                next.answers.add("{\"seq\":7,\"whole\":true,\"hosts\":[]}");
                assertTrue(next.asked.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=7&wait="));
                old.answers.add("{\"seq\":90,\"whole\":true,\"hosts\":[]}");   // a late answer of the old watch
                next.answers.add("{\"seq\":8,\"whole\":false,\"hosts\":[]}");
                assertTrue(next.asked.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=8&wait="));
                assertTrue(old.asked.isEmpty());
                harness.reload(next.address());
                harness.ticker.advance((int) (EndpointUpdateBudget.LONG_POLL_WAIT / 2));
                assertTrue(next.asked.isEmpty(), "the watch goes on if its address is the same");
            }
        }
    }
}
