package kelphollow.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import kelphollow.decision.ControlEvent.EndpointState;
import kelphollow.program.FakeObjectStore.Stored;
import kelphollow.protocol.json.Json;
import kelphollow.protocol.xds.XdsClusters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Envoy's clusters and endpoints: how they are read, and how a gateway follows them by REST. */
@Timeout(30)
class XdsTest {
    private static final InetSocketAddress ONE = new InetSocketAddress("127.0.0.1", 9101);
    private static final InetSocketAddress TWO = new InetSocketAddress("127.0.0.1", 9102);

    private static List<?> resources(String text) throws Exception {
        return List.of(Json.parse(text));
    }

    @Test void endpointsAreReadInBothSpellings() throws Exception {
        String text = ServerHarness.assignment("DRAINING", ONE, TWO);
        var members = XdsClusters.endpoints(resources(text), "dump-store-endpoints", 2);
        assertEquals(2, members.size());
        assertEquals("127.0.0.1:9102", members.get(1).endpoint().node());
        assertEquals(1, members.get(1).endpoint().cell());
        assertEquals(EndpointState.DRAINING, members.get(1).endpoint().state());
        String camel = text.replace("lb_endpoints", "lbEndpoints").replace("socket_address", "socketAddress")
            .replace("port_value", "portValue").replace("health_status", "healthStatus")
            .replace("filter_metadata", "filterMetadata").replace("cluster_name", "clusterName");
        assertEquals(members, XdsClusters.endpoints(resources(camel), "dump-store-endpoints", 2));
    }

    @Test void aFaultyResourceIsRejectedAndItsPlaceNamed() throws Exception {
        String text = ServerHarness.assignment("HEALTHY", ONE, TWO);
        for (String[] fault : new String[][] {
            {"\"port_value\":9102", "\"port_value\":99999", "lb_endpoints[1].endpoint.address.socket_address.port_value"},
            {"\"shard\":1", "\"shard\":7", "lb_endpoints[1].metadata.filter_metadata.kelphollow.shard"},
            {"HEALTHY", "FINE", "health_status is 'FINE'"}, {"9102", "9101", "127.0.0.1:9101 is there twice"},
            {"\"endpoints\":[", "\"endpoints\":[7,", "endpoints[0]"}, {"127.0.0.1", "store.example", "no IP address"}}) {
            assertTrue(text.contains(fault[0]));
            String bad = text.replace(fault[0], fault[1]);
            String told = assertThrows(IllegalArgumentException.class,
                () -> XdsClusters.endpoints(resources(bad), "dump-store-endpoints", 2)).getMessage();
            assertTrue(told.contains(fault[2]), told);
        }
    }

    /** A control plane whose endpoints the test sets. */
    private static final class FakeControlPlane implements AutoCloseable {
        /** The bodies of its requests, each once it has been answered. */
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        private String endpoints;
        private int version;

        FakeControlPlane() throws IOException {
            server.createContext("/v3/", this::answer);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        /** The resource that holds the endpoints from now on, under a new version. */
        synchronized void endpoints(String resource) {
            endpoints = resource;
            version++;
        }

        private void answer(HttpExchange exchange) throws IOException {
            String body = new String(exchange.getRequestBody().readAllBytes());
            byte[] answer = resources(exchange.getRequestURI().getPath().endsWith(":clusters")).getBytes();
            exchange.sendResponseHeaders(200, answer.length);
            exchange.getResponseBody().write(answer);
            exchange.close();
            requests.add(body);
        }

        private synchronized String resources(boolean clusters) {
            String resource = clusters
                ? "{\"name\":\"dump-store\",\"eds_cluster_config\":{\"service_name\":\"dump-store-endpoints\"}}"
                : endpoints;
            return "{\"version_info\":\"" + (clusters ? "c" : "e" + version) + "\",\"resources\":[" + resource + "]}";
        }

        @Override public void close() {
            server.stop(0);
        }
    }

    @Test void aDrainingServerGetsNothingNewAndAFaultyAnswerChangesNothing() throws Exception {
        try (FakeControlPlane plane = new FakeControlPlane(); FakeObjectServer server = new FakeObjectServer()) {
            server.objects.put("/symbols/a", new Stored("x".getBytes(), "\"e\""));
            plane.endpoints(ServerHarness.assignment("HEALTHY", server.address()));
            Map<String, Object> objects = new HashMap<>(ServerHarness.part(ServerHarness.example(), "objects"));
            objects.put("shards", 1.0);
            Map<String, Object> xds = Map.of("cluster", "dump-store", "server", plane.address());
            try (ServerHarness harness = ServerHarness.objects(Map.of("objects", objects, "xds", xds), server.address());
                 HttpTestClient client = new HttpTestClient(harness.address)) {
                assertTrue(plane.requests.take().contains("\"resource_names\":[\"dump-store\"]"));
                assertTrue(plane.requests.take().contains("dump-store-endpoints"));
                rounds(harness, plane.requests, 1);
                assertEquals(200, client.call("GET /symbols/a", "", null).status());

                plane.endpoints("{\"cluster_name\":7}");
                rounds(harness, plane.requests, 1);
                assertEquals(200, client.call("GET /symbols/a", "", null).status(), "the last good list stands");

                plane.endpoints(ServerHarness.assignment("DRAINING", server.address()));
                rounds(harness, plane.requests, 2);
                int before = server.seen.size();
                client.send("GET /symbols/a", "", null);
                ServerHarness.turn(harness.loop);        // the request has been read
                ServerHarness.turn(harness.loop);        // and taken, since its client's end did not come right behind
                harness.ticker.advance(300);
                assertEquals(503, client.answer().status());
                assertEquals(before, server.seen.size(), "nothing new went to the draining server");
            }
        }
    }

    /** Moves the clock until the endpoints were asked for so many times more, and the answer to the last was read. */
    private static void rounds(ServerHarness harness, BlockingQueue<String> asked, int rounds) throws Exception {
        asked.clear();
        for (int seen = 0; seen <= rounds;) {
            String body = asked.poll(5, TimeUnit.MILLISECONDS);
            if (body == null) {
                harness.ticker.advance(10);
            } else if (body.contains("dump-store-endpoints")) {
                seen++;
            }
        }
    }
}
