package kelphollow.lab;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import kelphollow.protocol.json.Json;

/** The processes of the program, each with its own file, store and ports, and the relays between them. */
final class Instances implements AutoCloseable {
    /** What runs, and how. */
    enum State { DOWN, UP, STOPPED }

    /** Aims of the two classes, in milliseconds. */
    static final int READ_AIM = 250, WRITE_AIM = 500;
    // A starved instance runs for a tenth of the time.
    private static final long STARVED = 90;
    private static final long FED = 10;

    private static final class Instance {
        final String name;
        final Path folder;
        int clients, mgmt, line;
        ScheduledFuture<?> starving;
        Process process;
        State state = State.DOWN;
        long eventsRead;

        Instance(String name, Path folder) {
            this.name = name;
            this.folder = folder;
        }
    }

    private final Scenario scenario;
    private final History history;
    private final StandIns standIns;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Instance> all = new LinkedHashMap<>();
    /** By the names of both ends, with a blank between. */
    private final Map<String, Relay> relays = new LinkedHashMap<>();
    private final Map<String, Boolean> cuts = new TreeMap<>();
    private final Random random;
    private final ScheduledExecutorService turns = Executors.newScheduledThreadPool(4);

    Instances(Scenario scenario, History history, StandIns standIns, Path folder, long seed)
        throws IOException, InterruptedException {
        this.scenario = scenario;
        this.history = history;
        this.standIns = standIns;
        this.random = new Random(seed);
        Ports ports = new Ports();
        for (int i = 0; i < scenario.instances(); i++) {
            Instance instance = new Instance("i" + i, Files.createDirectories(folder.resolve("i" + i)));
            instance.clients = ports.free();
            instance.mgmt = ports.free();
            instance.line = ports.free();
            all.put(instance.name, instance);
        }
        Files.writeString(folder.resolve("key"), "the key of one run " + Long.toHexString(random.nextLong()));
        for (Instance a : all.values()) {
            Map<String, Object> peers = new TreeMap<>();
            for (Instance b : all.values()) {
                if (a != b) {
                    Relay relay = new Relay(group.next(), new InetSocketAddress("127.0.0.1", b.line), random.nextLong());
                    relays.put(a.name + " " + b.name, relay);
                    peers.put(b.name, "127.0.0.1:" + relay.open().getPort());
                }
            }
            Files.writeString(a.folder.resolve("config.json"), History.json(config(a, peers, folder.resolve("key"))));
        }
    }

    /** Half of what nodes bear is reserved to neither: who is worth more shows only beyond the reserve. */
    private Map<String, Object> grade(String name, double price) {
        return Map.of("name", name, "rate", 1_000, "reserve", 10, "proportion", 1, "value_factor", price,
            "ceiling_rate", scenario.limit().rate(), "limit_burst", scenario.limit().burst(),
            "tolerance", scenario.limit().slack());
    }

    private Map<String, Object> config(Instance of, Map<String, Object> peers, Path key) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("me", Integer.parseInt(of.name.substring(1)));
        settings.put("fleet_size", scenario.instances());
        settings.put("tick", 2);
        settings.put("discovery", "subscribe");
        settings.put("ceilings", Map.of("cancel", true, "most_tries", 3, "retry_after", true, "max_retry_after", 1_000));
        settings.put("contract", Map.of("drain_grace", 250));
        settings.put("extra", Map.of("unit_mean", 1, "share_worth", 0.35, "beyond_share", 0.05));
        settings.put("grades", List.of(grade("lab", 1), grade("gold", 3)));
        settings.put("request_classes", List.of(
            Map.of("name", "read", "aim", READ_AIM, "deadline", 2_000, "effect", "pure", "worth", 2, "late_share", 0.2),
            Map.of("name", "write", "aim", WRITE_AIM, "deadline", 2_000, "effect", "side_effect", "worth", 2, "late_share",
                0.1)));
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", of.name);
        config.put("listen", "127.0.0.1:" + of.clients);
        config.put("mgmt", "127.0.0.1:" + of.mgmt);
        config.put("buckets", Map.of("lab", Map.of("plan", "lab", "gateways", scenario.instances()),
            "gold", Map.of("plan", "gold", "gateways", Math.max(1, scenario.gold().size()))));
        config.put("objects", Map.of("shards", scenario.nodes(), "classes", Map.of("read", "read", "write", "write")));
        config.put("store", Map.of("folders", List.of(of.folder.resolve("store/a").toString(), of.folder.resolve("store/b")
            .toString())));
        config.put("xds", Map.of("cluster", "lab", "server", "127.0.0.1:" + standIns.planePort(), "refresh_ms", 50));
        config.put("fleet", Map.of("listen", "127.0.0.1:" + of.line, "peers", peers, "key_file", key.toString(),
            "period_ms", scenario.period(), "findings", scenario.findings(), "repeats", scenario.repeats(), "shed", scenario
                .shed(), "events", of.folder.resolve("events.jsonl").toString()));
        config.put("settings", settings);
        return config;
    }

    // ---------------------------------------------------------------- processes

    void start(String name, double clockOff) throws IOException {
        Instance i = all.get(name);
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx48m", "-Dkelphollow.clock.off.ms=" + (long) clockOff, "-cp", System
                .getProperty("java.class.path"),
            "kelphollow.program.Main", "serve", "--config", i.folder.resolve("config.json").toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(i.folder.resolve("log").toFile()));
        builder.environment().put("TMPDIR", i.folder.toString());
        history.add("lab", "start", "instance", name, "clock_off", clockOff);
        i.process = builder.start();
        i.state = State.UP;
    }

    void kill(String name) {
        Instance i = all.get(name);
        if (i.state != State.DOWN) {
            history.add("lab", "kill", "instance", name);
            i.process.destroyForcibly().onExit().join();
            i.state = State.DOWN;
        }
    }

    /** SIGTERM, and waits for the end. */
    void leave(String name) throws IOException, InterruptedException {
        Instance i = all.get(name);
        history.add("lab", "term", "instance", name);
        i.process.destroy();
        boolean ended = i.process.waitFor(10, TimeUnit.SECONDS);
        history.add("lab", "ended", "instance", name, "code", ended ? i.process.exitValue() : -1);
        if (!ended) {
            i.process.destroyForcibly().onExit().join();
        }
        i.state = State.DOWN;
    }

    void stop(String name) throws IOException, InterruptedException {
        signal(name, "STOP", "stop", State.STOPPED);
    }

    void cont(String name) throws IOException, InterruptedException {
        signal(name, "CONT", "cont", State.UP);
    }

    private void signal(String name, String signal, String what, State next) throws IOException, InterruptedException {
        Instance i = all.get(name);
        history.add("lab", what, "instance", name);
        int code = send(i, signal);
        if (code != 0) {
            throw new IOException("kill -" + signal + " of " + name + " ended with " + code);
        }
        i.state = next;
    }

    void restart(String name, boolean lostStore, double clockOff) throws IOException {
        kill(name);
        if (lostStore) {
            try (Stream<Path> files = Files.walk(all.get(name).folder.resolve("store"))) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        start(name, clockOff);
    }

    /** Takes most of the processor away from an instance, in turns that are short against a round; or ends that. */
    void starve(String name, boolean now) throws IOException, InterruptedException {
        history.add("lab", now ? "starve" : "feed", "instance", name);
        Instance i = all.get(name);
        if (now) {
            i.starving = turns.scheduleWithFixedDelay(() -> {
                send(i, "STOP");
                sleep(STARVED);
                send(i, "CONT");
            }, 0, FED, TimeUnit.MILLISECONDS);
        } else if (i.starving != null) {
            i.starving.cancel(false);
            i.starving = null;
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int send(Instance to, String signal) {
        try {
            return new ProcessBuilder("kill", "-" + signal, Long.toString(to.process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    // ---------------------------------------------------------------- paths

    /** Cuts or heals what goes from each of the one side to each of the other; both ways unless {@code oneWay}. */
    void cut(List<String> who, List<String> from, boolean oneWay, boolean now) {
        history.add("lab", now ? "cut" : "heal", "who", who, "from", from, "one_way", oneWay);
        for (String a : who) {
            for (String b : from) {
                if (!a.equals(b)) {
                    cuts.put(a + " " + b, now);
                    if (!oneWay) {
                        cuts.put(b + " " + a, now);
                    }
                }
            }
        }
        relays.forEach((path, relay) -> {
            String[] ends = path.split(" ");
            relay.cut(cuts.getOrDefault(path, false), cuts.getOrDefault(ends[1] + " " + ends[0], false));
        });
    }

    void net(Scenario.Net net) {
        history.add("lab", "net", "loss", net.loss(), "duplicate", net.duplicate(), "delay", net.delay(), "jitter", net
            .jitter());
        relays.values().forEach(r -> r.net(net));
    }

    /** What went to these before goes to them again. */
    void replay(List<String> to) {
        history.add("lab", "replay", "who", to);
        relays.forEach((path, relay) -> {
            if (to.contains(path.split(" ")[1])) relay.replay();
        });
    }

    /** Random, oversized and cut packets, as strangers might send. */
    void noise(List<String> to) {
        history.add("lab", "noise", "who", to);
        relays.forEach((path, relay) -> {
            if (to.contains(path.split(" ")[1])) {
                for (int i = 0; i < 200; i++) {
                    byte[] bytes = new byte[1 + random.nextInt(i % 10 == 0 ? 20_000 : 900)];
                    random.nextBytes(bytes);
                    relay.inject(bytes);
                }
            }
        });
    }

    // ---------------------------------------------------------------- what is seen

    List<String> names() {
        return List.copyOf(all.keySet());
    }

    List<String> in(State state) {
        return all.values().stream().filter(i -> i.state == state).map(i -> i.name).toList();
    }

    int clientPort(String name) {
        return all.get(name).clients;
    }

    /** Takes new events of the fleet into the history; an instance that ended by itself is noted too. */
    void readEvents() throws IOException {
        for (Instance i : all.values()) {
            Path events = i.folder.resolve("events.jsonl");
            if (Files.exists(events)) {
                String text = Files.readString(events);
                int end = text.lastIndexOf('\n') + 1;
                for (String line : text.substring((int) i.eventsRead, Math.max(end, (int) i.eventsRead)).lines().toList()) {
                    Map<?, ?> event = (Map<?, ?>) Json.parse(line);
                    history.add(i.name, "event", "event", event.get("event"), "of", event.get("instance"),
                        "epoch", event.get("epoch"), "why", event.get("why"), "nodes", event.get("nodes"));
                }
                i.eventsRead = Math.max(end, i.eventsRead);
            }
            if (i.state != State.DOWN && !i.process.isAlive()) {
                List<String> log = Files.readAllLines(i.folder.resolve("log"));
                history.add(i.name, "crashed", "code", i.process.exitValue(),
                    "log", log.subList(Math.max(0, log.size() - 3), log.size()));
                i.state = State.DOWN;
            }
        }
    }

    /** Whether each running instance sees just the running ones as alive; what each sees goes into the history. */
    boolean agree(boolean note) {
        List<String> up = in(State.UP);
        boolean agree = true;
        for (String name : up) {
            TreeSet<String> alive = new TreeSet<>();
            Map<?, ?> status = status(name);
            if (status != null) {
                for (Object m : (List<?>) status.get("members")) {
                    if ("alive".equals(((Map<?, ?>) m).get("state"))) {
                        alive.add((String) ((Map<?, ?>) m).get("name"));
                    }
                }
            }
            agree &= alive.equals(new TreeSet<>(up));
            if (note) {
                history.add(name, "view", "alive", alive, "running", up, "bytes", status == null ? 0 : status.get(
                    "bytes_sent"),
                    "datagrams", status == null ? 0 : status.get("datagrams_sent"),
                    "dropped", status == null ? Map.of() : status.get("dropped"),
                    "cpu_ms", all.get(name).process.info().totalCpuDuration().map(d -> d.toMillis()).orElse(0L),
                    "up_ms", all.get(name).process.info().startInstant()
                        .map(s -> java.time.Duration.between(s, java.time.Instant.now()).toMillis()).orElse(0L));
            }
        }
        return agree;
    }

    private Map<?, ?> status(String name) {
        try (Socket socket = new Socket("127.0.0.1", all.get(name).mgmt)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("fleet status\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.startsWith("ACK ") ? (Map<?, ?>) Json.parse(answer.substring(4).strip()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Ends every process, whatever its state, and waits until it has ended. */
    @Override public void close() {
        turns.shutdownNow();
        for (Instance i : all.values()) {
            if (i.process != null) {
                i.process.destroyForcibly().onExit().join();
            }
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
