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

/** Reload of the configuration: the program switches to the service or servers that the new one names. */
@Timeout(20)
class ReloadTest {
    @Test void aNewDiscoveryThatIsSilentIsPolledAgainSoon() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery(); FakeDiscovery next = new FakeDiscovery();
             ServerHarness server = ServerHarness.resp(old.address())) {
            server.reload(next.address());
            assertEquals("/catalog/members", next.requests.poll(10, TimeUnit.SECONDS));

            server.ticker.advance(3_200);   // changes reported by a new service count as notified after 4 s

            assertEquals("/catalog/members", next.requests.poll(10, TimeUnit.SECONDS));
        }
    }

    @Test void interimResponsesOfDiscoveryAreSkipped() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
             ServerHarness server = ServerHarness.resp(new InetSocketAddress(discovery.getInetAddress(), discovery
                 .getLocalPort()));
             Socket watch = discovery.accept()) {
            BufferedReader in = new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.US_ASCII));
            while (!in.readLine().isEmpty()) {}
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
            watch.getOutputStream().write(("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
                + list.length() + "\r\n\r\n" + list).getBytes(StandardCharsets.US_ASCII));
            try (Socket next = discovery.accept()) {   // a connection is not reused right after a response
                in = new BufferedReader(new InputStreamReader(next.getInputStream(), StandardCharsets.US_ASCII));
                assertTrue(in.readLine().startsWith("GET /catalog/members?index=7&wait="));
            }
        }
    }

    @Test void theObjectApiFollowsANewFile() throws Exception {
        Map<String, Object> objects = new HashMap<>(ServerHarness.section(ServerHarness.example(), "objects"));
        objects.put("shards", 1.0);
        try (FakeObjectServer old = new FakeObjectServer(); FakeObjectServer next = new FakeObjectServer();
             ServerHarness server = ServerHarness.objects(Map.of("objects", objects), old.address());
             HttpTestClient client = new HttpTestClient(server.address)) {
            old.objects.put("/symbols/a", new FakeObjectStore.Stored("old".getBytes(), "\"e\""));
            next.objects.put("/symbols/a", new FakeObjectStore.Stored("next".getBytes(), "\"e\""));
            assertEquals("old", client.call("GET /symbols/a", "", null).text());

            server.reload(Map.of("objects", objects), next.address());

            assertEquals("next", client.call("GET /symbols/a", "", null).text());
        }
    }

    @Test void theNewDiscoveryIsPolledForTheCompleteListAndTheOldOneNoMore() throws Exception {
        try (FakeDiscovery old = new FakeDiscovery(); FakeDiscovery next = new FakeDiscovery()) {
            try (ServerHarness server = ServerHarness.resp(old.address())) {
                assertTrue(old.requests.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=1&wait="));

                server.reload(next.address());
                assertEquals("/catalog/members", next.requests.poll(10, TimeUnit.SECONDS),
                    "versions of the old service do not apply to the new one");
                next.responses.add(FakeDiscovery.list(7, true));
                assertTrue(next.requests.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=7&wait="));

                old.responses.add(FakeDiscovery.list(90, true));   // a late response of the old watch
                next.responses.add(FakeDiscovery.list(8, false));
                assertTrue(next.requests.poll(10, TimeUnit.SECONDS).startsWith("/catalog/members?index=8&wait="));
                assertTrue(old.requests.isEmpty());

                server.reload(next.address());
                server.ticker.advance((int) (EndpointUpdateBudget.LONG_POLL_WAIT_MS / 2));
                assertTrue(next.requests.isEmpty(), "the watch continues if the address is unchanged");
            }
        }
    }
}
