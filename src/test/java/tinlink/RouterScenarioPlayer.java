package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import tinlink.config.HangupSignal;
import tinlink.config.RouterConfig;
import tinlink.decision.Attempt;
import tinlink.decision.DataNode;
import tinlink.decision.DecisionHandler;
import tinlink.decision.Lookup;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.QueryCoordinator;
import tinlink.experiment.processes.RouterProcess;
import tinlink.net.ParserPlayer;
import tinlink.router.Router;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Plays one scenario against a router on loopback sockets, with stand-ins of its own for clients,
 * data nodes and discovery; docs/scenarios.md has the notation. A stand-in does what its line says
 * and nothing else.
 */
final class RouterScenarioPlayer implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int QUIET_MS = 60;
    private static final int LATE_MS = 150;
    private static final long POLL_NS = 20_000;
    private static final int BYTES_BETWEEN_READS = 13;
    private static final Logger LOG = Logger.getLogger("tinlink");
    private final Path dir;
    /** What the router has logged and no line of the script has looked at. */
    private final LinkedBlockingQueue<String> unreadLogLines = new LinkedBlockingQueue<>();

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord r) {
            unreadLogLines.add(new SimpleFormatter().formatMessage(r));
        }

        @Override
        public void flush() {
            // Nothing is held back.
        }

        @Override
        public void close() {
            // Nothing to let go of.
        }
    };
    private final Map<String, String> settings = new LinkedHashMap<>();
    private final Map<String, StubServer> dataNodes = new LinkedHashMap<>();
    private final Map<String, Client> clients = new HashMap<>();
    private final StubServer discovery = new StubServer("disc", 0);
    /** Where discovery moves to. */
    private final StubServer secondDiscovery = new StubServer("other", 0);

    private Router router;
    /** The router where it is a process of its own. */
    private Process process;

    private Thread stopping;
    private boolean faulty;
    /** While there is one, a turn of the router's waits for it after it has begun. */
    private final AtomicReference<CountDownLatch> turnGate = new AtomicReference<>();
    /** The same in a timer of the module's. */
    private final AtomicReference<CountDownLatch> timerGate = new AtomicReference<>();
    /** The same in the I/O thread, between the read of a connection and the loop's hearing of it. */
    private final AtomicReference<CountDownLatch> readGate = new AtomicReference<>();
    /** How often the loop has come to a closed one. */
    private final AtomicInteger gateArrivals = new AtomicInteger();
    /** What the I/O thread has completed since the latest {@code hold}. */
    private final AtomicInteger completions = new AtomicInteger();

    private Thread loop;
    /** Where the router listens; 0 for any, unless clients come before it does. */
    private int port;

    private final List<Thread> earlyClients = new ArrayList<>();

    RouterScenarioPlayer(Path dir) throws IOException {
        this.dir = dir;
        LOG.setUseParentHandlers(false);
        LOG.setLevel(Level.FINE);
        LOG.addHandler(handler);
        String[] usual = {
            "sockets",
            "256",
            "memory",
            "192",
            "lists",
            "pushed",
            "deadline",
            "8000",
            "window",
            "8000",
            "familyInfo.sets",
            "12",
            "familyInfo.reach",
            "2",
            "familyInfo.slabs",
            "12",
            "familyInfo.bundleMax",
            "4",
            "familyInfo.completeFrom",
            "[0.5,1,1,1]",
            "familyInfo.minShare",
            "[0.5,1,1,1]",
            "limits.connectTimeoutMs",
            "2000",
            "limits.connIdleMs",
            "30000",
            "limits.streamsPerConn",
            "8",
            "limits.tryLimit",
            "3",
            "limits.openCap",
            "40",
            "limits.cancel",
            "true",
            "limits.secondCopies",
            "true",
            "limits.retryAfter",
            "true",
            "limits.maxRetryAfterMs",
            "2000"
        };
        for (int i = 0; i < usual.length; i += 2) {
            settings.put(usual[i], usual[i + 1]);
        }
    }

    void play(List<String> script) throws Exception {
        int no = 0;
        for (String raw : script) {
            no++;
            String line = raw.replaceAll("(^|\\s)#\\s.*", "").trim();
            try {
                for (String one : line.isEmpty() ? new String[0] : line.split(";;\\s*")) {
                    runStep(one.trim());
                }
            } catch (Exception | AssertionError e) {
                throw new AssertionError(
                        "line " + no + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
    }

    private void runStep(String line) throws Exception {
        String[] words = line.split(" ", 3);
        String rest = words.length > 2 ? words[2] : "";
        switch (words[0]) {
            case "set" -> settings.put(words[1], rest);
            case "faulty" -> faulty = true;
            case "hold" -> {
                completions.set(0);
                (line.endsWith(" timers")
                                ? timerGate
                                : line.endsWith(" reads") ? readGate : turnGate)
                        .set(new CountDownLatch(1));
            }
            case "held" ->
                awaitCount(gateArrivals, words.length > 1 ? Integer.parseInt(words[1]) : 1);
            case "blocked" -> awaitLoop(".IoThread", "the loop does not wait for the I/O thread");
            case "rests" -> awaitLoop(".EventLoop", "the loop does not wait for events");
            case "completions" -> awaitCount(completions, Integer.parseInt(words[1]));
            case "release" ->
                release(
                        line.endsWith(" turn")
                                ? List.of(turnGate)
                                : line.endsWith(" timers")
                                        ? List.of(timerGate)
                                        : List.of(turnGate, timerGate, readGate));
            case "step" -> {
                int before = gateArrivals.get();
                timerGate.getAndSet(new CountDownLatch(1)).countDown();
                for (int i = 0; gateArrivals.get() == before && i < TIMEOUT_MS; i++) {
                    Thread.sleep(1);
                }
                assertEquals(before + 1, gateArrivals.get(), "no further timer");
            }
            case "pause" -> Thread.sleep(Long.parseLong(words[1]));
            case "within" -> {
                long from = System.nanoTime();
                runStep(rest);
                assertEquals(
                        true,
                        System.nanoTime() - from < 1_000_000 * Long.parseLong(words[1]),
                        "too late");
            }
            case "node" -> {
                StubServer s = new StubServer(words[1], Integer.parseInt(rest.split(" ", 0)[0]));
                dataNodes.put(words[1], s);
                if (rest.endsWith(" full")) {
                    s.fill();
                } else {
                    s.accept();
                }
            }
            case "early" -> {
                choosePort();
                Client c = new Client();
                clients.put(words[1], c);
                earlyClients.add(new Thread(() -> c.connectEarly(rest)));
            }
            case "start" -> {
                discovery.accept();
                secondDiscovery.accept();
                start(line.endsWith(" warm"));
            }
            case "process" -> process(words[1]);
            case "ready" -> awaitReady();
            case "kill" -> {
                process.destroyForcibly();
                process.waitFor();
            }
            case "terminate" -> process.destroy();
            case "ended" -> assertEquals(true, process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            case "crowd" -> runCrowd(words[1], rest);
            case "stop" -> {
                stopping = new Thread(() -> {
                    try {
                        router.stopAndWait();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                stopping.start();
            }
            case "stopped" -> {
                stopping.join(TIMEOUT_MS);
                assertEquals(false, stopping.isAlive(), "still stopping");
            }
            case "log" -> {
                long until = System.nanoTime() + 1_000_000L * TIMEOUT_MS;
                String next = unreadLogLines.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                while (next != null && !next.contains(rest)) {
                    next = unreadLogLines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                assertEquals(true, next != null, "nothing like it was logged");
            }
            case "disc" -> discovery.runStep(words[1], rest);
            case "other" -> secondDiscovery.runStep(words[1], rest);
            case "configured" ->
                Files.writeString(
                        configFile(),
                        line.substring(words[0].length())
                                .trim()
                                .replace("OTHER", "127.0.0.1:" + secondDiscovery.port()));
            case "moves" -> {
                StubServer from = line.endsWith(" back") ? secondDiscovery : discovery;
                Files.writeString(
                        configFile(),
                        Files.readString(configFile())
                                .replace(
                                        ":" + from.port() + "\"",
                                        ":"
                                                + (from == secondDiscovery
                                                                ? discovery
                                                                : secondDiscovery)
                                                        .port()
                                                + "\""));
            }
            case "hangup" ->
                new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start();
            default -> {
                if (dataNodes.containsKey(words[0])) {
                    dataNodes.get(words[0]).runStep(words[1], rest);
                } else {
                    clients.computeIfAbsent(words[0], n -> new Client()).runStep(words[1], rest);
                }
            }
        }
    }

    private void runCrowd(String size, String says) throws IOException {
        if (size.equals("leaves") || size.equals("returns")) {
            for (Map.Entry<String, Client> one : clients.entrySet()) {
                if (one.getKey().startsWith("crowd")) {
                    one.getValue().close();
                    if (size.equals("returns")) {
                        one.getValue().socket = null;
                        one.getValue().connect();
                    }
                }
            }
            return;
        }
        for (int i = 0; i < Integer.parseInt(size); i++) {
            Client c = clients.computeIfAbsent("crowd" + i, n -> new Client());
            c.connect();
            c.socket.getOutputStream().write(ParserPlayer.bytes(says.replace("{i}", "" + i)));
        }
    }

    // ---- The router under test. ----

    private void start(boolean warm) throws Exception {
        configure();
        RouterConfig from = new RouterConfig(Map.of(
                "NODE_CONFIG",
                configFile().toString(),
                "NODE_LOG",
                "OFF",
                "NODE_DISCOVERY",
                "127.0.0.1:" + discovery.port()));
        QueryCoordinator module =
                faulty ? new FaultyCoordinator(from.decision.module) : from.decision.module;
        router = new Router(from, new GatedCoordinator(module), this::handler);
        earlyClients.forEach(Thread::start);
        if (warm) {
            router.warmUp();
        }
        loop = new Thread(() -> {
            try {
                router.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        loop.start();
        router.awaitListening();
        port = router.address().getPort();
        for (Thread t : earlyClients) {
            t.join(TIMEOUT_MS);
        }
        HangupSignal.onHangup(router::reload);
    }

    private void configure() throws IOException {
        String known =
                dataNodes.values().stream().map(StubServer::entry).collect(Collectors.joining(","));
        Files.writeString(
                configFile(),
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                        + settings.get("sockets") + ",\"memory_mb\":" + settings.get("memory")
                        + "},\"known\":{\"rev\":41,\"all\":true,\"targets\":[" + known
                        + "]},\"settings\":{\"discovery\":\"" + settings.get("lists")
                        + "\",\"stepMs\":5,\"zone\":0,\"localities\":[\"east\",\"west\"],"
                        + "\"models\":[\"m\"],\"familyInfo\":{" + group("familyInfo.")
                        + "},\"limits\":{"
                        + group("limits.") + "},\"profiles\":["
                        + profile("any", "pure") + "," + profile("all", "pure") + ","
                        + profile("pay", "token") + "," + profile("once", "side_effect") + "]"
                        + "}}");
    }

    // ---- The same as a process of its own. ----

    /** Runs the router with so many descriptors, and returns when it listens. */
    private void process(String descriptors) throws Exception {
        choosePort();
        if (process == null) {
            discovery.accept();
        }
        configure();
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(RouterProcess.BOUNDS);
        command.addAll(List.of(
                "-cp",
                Path.of(Main.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI())
                        .toString(),
                Main.class.getName(),
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        builder.environment()
                .putAll(Map.of("NODE_CONFIG", configFile().toString(), "NODE_LOG", "FINE"));
        process = builder.start();
        BufferedReader says = process.inputReader();
        Thread reads = new Thread(() -> {
            try {
                for (String line = says.readLine(); line != null; line = says.readLine()) {
                    unreadLogLines.add(line);
                }
            } catch (IOException e) {
                // The process has been killed.
            }
        });
        reads.setDaemon(true);
        reads.start();
        for (int i = 0; i < TIMEOUT_MS; i++) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (ConnectException e) {
                Thread.sleep(1);
            }
        }
        throw new AssertionError("it does not listen");
    }

    private void choosePort() throws IOException {
        if (port == 0) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
        }
    }

    /** Waits for a 200 of the path by which fronts ask. */
    private void awaitReady() throws Exception {
        for (int i = 0; i < TIMEOUT_MS; i++) {
            Client front = new Client();
            try {
                front.runStep(">", "GET /-/ready HTTP/1.1\\r\\n\\r\\n");
                if (front.readAnswer().equals("200 ready")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(1); // Not yet, or closed unread.
            } finally {
                front.close();
            }
        }
        throw new AssertionError("it is not ready");
    }

    private Path configFile() {
        return dir.resolve("config.json");
    }

    private String group(String prefix) {
        return settings.entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .map(e -> "\"" + e.getKey().substring(prefix.length()) + "\":" + e.getValue())
                .collect(Collectors.joining(","));
    }

    private String profile(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"deadlineMs\":" + settings.get("deadline")
                + ",\"onTimeMs\":3000,\"windowMs\":" + settings.get("window") + ",\"worth\":1}";
    }

    /** What stands before the module under test and hands on all it hears. */
    private abstract static class DelegatingCoordinator implements QueryCoordinator {
        private final QueryCoordinator module;

        DelegatingCoordinator(QueryCoordinator module) {
            this.module = module;
        }

        @Override
        public void advanceClock(long nowUs) {
            module.advanceClock(nowUs);
        }

        @Override
        public void onLookup(Lookup lookup) {
            module.onLookup(lookup);
        }

        @Override
        public void onPart(Part part) {
            module.onPart(part);
        }

        @Override
        public void onOutcome(
                Attempt attempt, Outcome outcome, long tookUs, long reportedLatencyUs) {
            module.onOutcome(attempt, outcome, tookUs, reportedLatencyUs);
        }

        @Override
        public void onEndpoint(DataNode node, boolean restarted) {
            module.onEndpoint(node, restarted);
        }

        @Override
        public void onEndpointListUpdate(EndpointListUpdate news) {
            module.onEndpointListUpdate(news);
        }

        @Override
        public void onHealthCheck(
                DataNode node, Outcome outcome, long tookUs, long reportedLatencyUs) {
            module.onHealthCheck(node, outcome, tookUs, reportedLatencyUs);
        }

        @Override
        public void onTimer() {
            module.onTimer();
        }

        @Override
        public void onClientGone(Lookup lookup) {
            module.onClientGone(lookup);
        }

        @Override
        public boolean decide(DecisionHandler host) {
            return module.decide(host);
        }
    }

    /** Stops the loop between the begin of a turn and what it takes, or in a timer. */
    private final class GatedCoordinator extends DelegatingCoordinator {
        GatedCoordinator(QueryCoordinator module) {
            super(module);
        }

        @Override
        public void advanceClock(long nowUs) {
            awaitGate(turnGate);
            super.advanceClock(nowUs);
        }

        @Override
        public void onTimer() {
            awaitGate(timerGate);
            super.onTimer();
        }
    }

    private void awaitGate(AtomicReference<CountDownLatch> gate) {
        CountDownLatch closed = gate.get();
        gateArrivals.addAndGet(closed == null ? 0 : 1);
        try {
            assertEquals(
                    true,
                    closed == null || closed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "never released");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a completion handler of the router's; what completes on its loop's own thread is never held. */
    private void handler(Runnable what) {
        if (Thread.currentThread() == loop) {
            what.run();
            return;
        }
        awaitGate(readGate);
        what.run();
        completions.incrementAndGet();
    }

    /** Waits until the loop's thread waits in a method of that class. */
    private void awaitLoop(String waitsIn, String ifNot) throws InterruptedException {
        for (int i = 0; i < TIMEOUT_MS; i++) {
            StackTraceElement ours = Arrays.stream(loop.getStackTrace())
                    .filter(at -> at.getClassName().startsWith("tinlink."))
                    .findFirst()
                    .orElse(null);
            if (loop.getState() != Thread.State.RUNNABLE
                    && ours != null
                    && ours.getClassName().endsWith(waitsIn)) {
                return;
            }
            Thread.sleep(1);
        }
        throw new AssertionError(ifNot);
    }

    private static void awaitCount(AtomicInteger count, int least) throws InterruptedException {
        long until = System.nanoTime() + 1_000_000L * TIMEOUT_MS;
        while (count.get() < least && System.nanoTime() < until) {
            LockSupport.parkNanos(POLL_NS);
        }
        assertEquals(true, count.get() >= least, "only " + count.get());
    }

    private void release(List<AtomicReference<CountDownLatch>> gates) {
        for (AtomicReference<CountDownLatch> one : gates) {
            CountDownLatch closed = one.getAndSet(null);
            if (closed != null) {
                closed.countDown();
            }
        }
    }

    /**
     * A module with a fault that comes back at every pull while a lookup on shard 11 is in hand.
     */
    private static final class FaultyCoordinator extends DelegatingCoordinator {
        private final List<Lookup> poison = new ArrayList<>();

        FaultyCoordinator(QueryCoordinator module) {
            super(module);
        }

        @Override
        public void onPart(Part part) {
            super.onPart(part);
            if (part.shard == 11) {
                poison.add(part.lookup);
            }
        }

        @Override
        public void onClientGone(Lookup lookup) {
            super.onClientGone(lookup);
            poison.remove(lookup);
        }

        @Override
        public boolean decide(DecisionHandler host) {
            if (!poison.isEmpty()) {
                throw new IllegalStateException("a fault for the test");
            }
            return super.decide(host);
        }
    }

    // ---- A data node or discovery. ----

    private final class StubServer {
        private final String name;
        private final int cell;
        private ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final int port = server.getLocalPort();
        /** Takes connections and does not read. */
        private volatile boolean stopsReading;
        /** How long the newest part call of an id is waited for, in milliseconds. */
        private final Map<String, Integer> timeoutsMs = new ConcurrentHashMap<>();

        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final List<Socket> backlogFillers = new ArrayList<>();
        private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        /** Where the newest part call of an id came in. */
        private final Map<String, Socket> connectionByPart = new ConcurrentHashMap<>();
        /** What discovery tells first, a while after it is asked; empty where it is silent. */
        private String firstUpdate = "{\"rev\":41,\"all\":false,\"targets\":[]}";

        private int firstUpdateDelayMs;
        /**
         * Discovery takes connections and says nothing; a watch of its goes on saying this without
         * end.
         */
        private volatile boolean hangs;
        /** Where discovery was asked most recently. */
        private volatile Socket watchConnection;

        private String endlessText = "";
        /** Which nodes the whole list has as draining, and has not. */
        private volatile String drainingNode = "";

        private volatile String missingNode = "";
        /** It tells the whole list first. */
        private volatile boolean startsWithFullList;

        StubServer(String name, int cell) throws IOException {
            this.name = name;
            this.cell = cell;
        }

        /**
         * Connections from now on stay coming up, until it accepts: the kernel's short queue is
         * full.
         */
        void fill() throws IOException {
            server.close();
            server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            for (int i = 0; i < 2; i++) {
                backlogFillers.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        }

        void accept() {
            Thread t = new Thread(() -> {
                try {
                    while (true) {
                        Socket s = server.accept();
                        if (backlogFillers.stream()
                                .anyMatch(f -> f.getLocalPort() == s.getPort())) {
                            continue;
                        }
                        connections.add(s);
                        Thread r = new Thread(() -> listen(s));
                        r.setDaemon(true);
                        r.start();
                    }
                } catch (IOException e) {
                    // The scenario has closed it.
                }
            });
            t.setDaemon(true);
            t.start();
        }

        int port() {
            return port;
        }

        String entry() {
            return entry("in_service", 0);
        }

        private String entry(String state, long bootMs) {
            return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + port
                    + "\",\"az\":\"east\","
                    + "\"model\":\"m\",\"pod_group\":" + cell + ",\"state\":\"" + state
                    + "\",\"boot_ms\":" + bootMs + "}";
        }

        private void listen(Socket s) {
            try {
                InputStream in = s.getInputStream();
                if (this == discovery || this == secondDiscovery) {
                    String path = head(in).split(" ", 0)[1];
                    watchConnection = s;
                    while (!path.contains("watch=") && !hangs) {
                        s.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nContent-Length: "
                                                + fullList().length() + "\r\n\r\n" + fullList())
                                        .getBytes(StandardCharsets.UTF_8));
                        received.add(path);
                        path = head(in).split(" ", 0)[1];
                    }
                    if (!hangs) {
                        serveWatch(s);
                    }
                    received.add(
                            path); // Only now: the script may say a line as soon as it sees this.
                    in.read();
                } else {
                    while (stopsReading) {
                        Thread.sleep(1);
                    }
                    for (DataInputStream d = new DataInputStream(in); ; ) {
                        byte[] frame = new byte[d.readInt()];
                        d.readFully(frame);
                        received.add(describe(s, new String(frame, StandardCharsets.UTF_8)));
                    }
                }
                received.add("closed");
            } catch (IOException | InterruptedException e) {
                if (s == watchConnection
                        || (this != discovery && this != secondDiscovery)
                        || !(e instanceof EOFException)) {
                    received.add("closed");
                }
            }
        }

        private void serveWatch(Socket s) throws IOException, InterruptedException {
            s.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            Thread.sleep(firstUpdateDelayMs);
            if (!firstUpdate.isEmpty()) {
                chunks(s, (startsWithFullList ? fullList() : firstUpdate) + "\n");
            }
            if (!endlessText.isEmpty()) {
                Thread t = new Thread(() -> {
                    try {
                        for (; ; ) {
                            Thread.sleep(LATE_MS);
                            chunks(s, endlessText);
                        }
                    } catch (IOException | InterruptedException e) {
                        // The router has ended it.
                    }
                });
                t.setDaemon(true);
                t.start();
            }
        }

        /** The whole list, in lines of its own and by numbers of its own. */
        private String fullList() {
            return "{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n    "
                    + dataNodes.values().stream()
                            .filter(n -> !n.name.equals(missingNode))
                            .map(n -> n.entry(
                                    n.name.equals(drainingNode) ? "terminating" : "in_service", 0))
                            .collect(Collectors.joining(",\n    "))
                    + "\n  ]\n}";
        }

        /** A frame as the script says it: letter, then id, shard, key and text of each part. */
        private String describe(Socket s, String frame) {
            if (frame.charAt(0) != 'R') {
                return frame.charAt(0) + " " + frame.substring(1);
            }
            List<String> parts = new ArrayList<>();
            for (int at = 1; at < frame.length(); ) {
                int lf = frame.indexOf('\n', at);
                String[] words = frame.substring(at, lf).split(" ", 0);
                at = lf + 1 + Integer.parseInt(words[3]);
                connectionByPart.put(words[0], s);
                timeoutsMs.put(words[0], Integer.parseInt(words[2].replaceAll("^d=|,.*", "")));
                parts.add(words[0] + " " + words[1]
                        + words[2].replaceAll("^d=[1-9][0-9]*", "").replace(",", " ") + " "
                        + brief(frame.substring(lf + 1, at)));
            }
            return "R " + String.join(" + ", parts);
        }

        private static String brief(String text) {
            return text.length() > 999 ? text.length() + " bytes" : text;
        }

        void runStep(String what, String rest) throws Exception {
            switch (what) {
                case "<" -> {
                    // The end of one connection and what comes on the next are seen by two threads.
                    for (int i = 0; rest.equals("closed") && i < TIMEOUT_MS; i++) {
                        if (received.remove(rest)) {
                            return;
                        }
                        Thread.sleep(1);
                    }
                    String next = received.poll(
                            rest.equals("nothing") ? QUIET_MS : TIMEOUT_MS, TimeUnit.MILLISECONDS);
                    assertEquals(rest.equals("nothing") ? null : rest, next);
                }
                case ">" -> send(rest.split(" ", 3));
                case "slowly" -> {
                    if (this == discovery || this == secondDiscovery) {
                        String chunk =
                                Integer.toHexString(rest.length() + 1) + "\r\n" + rest + "\n\r\n";
                        byteByByte(newestConnection(), chunk.getBytes(StandardCharsets.UTF_8));
                    } else {
                        String[] words = rest.split(" ", 3);
                        byteByByte(connectionByPart.get(words[1]), framed(answer(words)));
                    }
                }
                case "deaf" -> {
                    stopsReading = true;
                    server.setReceiveBufferSize(1 << 12);
                }
                case "hears" -> stopsReading = false;
                case "waits" -> {
                    String[] words = rest.split(" ", 0);
                    int most = Integer.parseInt(words[1]);
                    int told = timeoutsMs.get(words[0]);
                    assertEquals(
                            true, told <= most, "it was told to be waited for " + told + " ms");
                }
                case "until" -> awaitFrame(rest);
                case "lists" -> chunks(newestConnection(), fullList() + "\n");
                case "tells" -> chunks(newestConnection(), change(rest) + "\n");
                case "says" -> chunks(newestConnection(), rest + "\n");
                case "silent" -> firstUpdate = "";
                case "hangs" -> hangs = true;
                case "answers" -> hangs = false;
                case "drips" ->
                    endlessText = new String(ParserPlayer.bytes(rest), StandardCharsets.UTF_8);
                case "drains" -> drainingNode = rest;
                case "lacks" -> missingNode = rest;
                case "begins" -> {
                    startsWithFullList = rest.equals("whole");
                    if (!startsWithFullList) {
                        firstUpdate = change(rest);
                        firstUpdateDelayMs = LATE_MS;
                    }
                }
                case "links" ->
                    assertEquals(Integer.parseInt(rest), connections.size(), "links in all");
                case "refuses" -> refuse();
                case "returns" -> {
                    server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
                    accept();
                }
                case "accepts" -> accept();
                default -> throw new IllegalArgumentException(what);
            }
        }

        /** MOST R FRAME: waits for this frame, before which no more than so many part calls came. */
        private void awaitFrame(String rest) throws InterruptedException {
            String[] words = rest.split(" ", 2);
            int calls = 0;
            String next = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            while (next != null && !next.equals(words[1])) {
                calls += next.startsWith("R ") ? 1 : 0;
                next = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            assertEquals(words[1], next);
            assertEquals(
                    true, calls <= Integer.parseInt(words[0]), calls + " part calls came before");
        }

        /** Until the thread that accepts has let go of it, the kernel still takes connections. */
        private void refuse() throws IOException {
            server.close();
            for (boolean taken = true; taken; ) {
                try {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                } catch (ConnectException e) {
                    taken = false;
                } catch (SocketException e) {
                    // Taken by the kernel, and reset at once.
                }
            }
        }

        /** NODE STATE [BOOT]: one change of the list. */
        private String change(String rest) {
            String[] words = rest.split(" ", 0);
            String entry = dataNodes
                    .get(words[0])
                    .entry(words[1], words.length > 2 ? Long.parseLong(words[2]) : 0);
            return "{\"rev\":50,\"all\":false,\"targets\":[" + entry + "]}";
        }

        /** Small ones. */
        private static void chunks(Socket to, String text) throws IOException {
            for (int at = 0; at < text.length(); at += 7) {
                String piece = text.substring(at, Math.min(at + 7, text.length()));
                String chunk = Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n";
                to.getOutputStream().write(chunk.getBytes(StandardCharsets.UTF_8));
            }
        }

        private Socket newestConnection() {
            return watchConnection == null
                    ? connections.get(connections.size() - 1)
                    : watchConnection;
        }

        private void send(String[] words) throws IOException {
            switch (words[0]) {
                case "OK", "ERROR", "REJECTED" ->
                    frame(connectionByPart.get(words[1]), answer(words));
                case "N" ->
                    frame(newestConnection(), "N" + String.join(" ", words).substring(1));
                case "frame" ->
                    frame(
                            newestConnection(),
                            new String(
                                    ParserPlayer.bytes(String.join(" ", words).substring(6)),
                                    StandardCharsets.UTF_8));
                case "raw" ->
                    newestConnection()
                            .getOutputStream()
                            .write(ParserPlayer.bytes(String.join(" ", words).substring(4)));
                case "end" -> newestConnection().close();
                case "reset" -> {
                    newestConnection().setSoLinger(true, 0);
                    newestConnection().close();
                }
                default -> throw new IllegalArgumentException(words[0]);
            }
        }

        private static String answer(String[] words) {
            return "Y" + words[1] + " " + words[0] + " 7 -\n"
                    + (words.length > 2
                            ? new String(ParserPlayer.bytes(words[2]), StandardCharsets.UTF_8)
                            : "");
        }

        private static void frame(Socket to, String rest) throws IOException {
            to.getOutputStream().write(framed(rest));
        }

        private static byte[] framed(String rest) {
            byte[] bytes = rest.getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(4 + bytes.length)
                    .putInt(bytes.length)
                    .put(bytes)
                    .array();
        }

        void close() throws IOException {
            server.close();
            for (Socket s : connections) {
                s.close();
            }
            for (Socket s : backlogFillers) {
                s.close();
            }
        }
    }

    /** Each byte leaves in a segment of its own, and now and then all so far has been read before. */
    private static void byteByByte(Socket to, byte[] bytes)
            throws IOException, InterruptedException {
        to.setTcpNoDelay(true);
        for (int i = 0; i < bytes.length; i++) {
            to.getOutputStream().write(bytes[i]);
            if (i % BYTES_BETWEEN_READS == 0) {
                awaitRead(to);
            }
        }
    }

    /** Waits until the router's process has read all that was sent, as the kernel has it. */
    private static void awaitRead(Socket sent) throws IOException, InterruptedException {
        Pattern ends = Pattern.compile(String.format(
                ":%04X [0-9A-F]+:%04X [0-9A-F]+ [0-9A-F]+:00000000 ",
                sent.getPort(), sent.getLocalPort()));
        for (int i = 0; i < TIMEOUT_MS; i++) {
            if (ends.matcher(Files.readString(Path.of("/proc/net/tcp"))).find()
                    || ends.matcher(Files.readString(Path.of("/proc/net/tcp6"))).find()) {
                return;
            }
            Thread.sleep(1);
        }
        throw new AssertionError("what was sent is not read");
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException(head.toString());
            }
            head.append((char) b);
        }
        return head.toString();
    }

    // ---- A client. ----

    private final class Client {
        private Socket socket;

        void connect() throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(TIMEOUT_MS);
            }
        }

        /** Connects as soon as the router listens, and says this at once. */
        void connectEarly(String line) {
            String[] words = line.split(" ", 2);
            while (socket == null) {
                try {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setSoTimeout(TIMEOUT_MS);
                    runStep(words[0], words[1]);
                } catch (ConnectException e) {
                    Thread.onSpinWait(); // It does not listen yet.
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        void runStep(String what, String rest) throws Exception {
            connect();
            switch (what) {
                case "asks" -> write(request(rest.split(" ", 0)));
                case ">" -> socket.getOutputStream().write(ParserPlayer.bytes(rest));
                case "slowly" ->
                    byteByByte(socket, request(rest.split(" ")).getBytes(StandardCharsets.UTF_8));
                case "drips" -> byteByByte(socket, ParserPlayer.bytes(rest));
                case "<" ->
                    assertEquals(
                            rest,
                            rest.equals("end")
                                    ? readEnd()
                                    : rest.equals("nothing") ? readNothing() : readAnswer());
                case "leaves" -> socket.close();
                case "taken" -> awaitRead(socket);
                case "floods" -> assertEquals(true, flood() < 20 << 20, "so much was taken");
                default -> throw new IllegalArgumentException(what);
            }
        }

        /** Sends until the router has ended the connection; how much went. */
        private int flood() {
            int sent = 0;
            try {
                for (byte[] block = new byte[1 << 16]; sent < 1 << 30; sent += block.length) {
                    socket.getOutputStream().write(block);
                }
            } catch (IOException e) {
                // That is the end.
            }
            return sent;
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** ID CLASS BUDGET SHARDS [KEY] */
        private String request(String[] words) {
            String segments = Arrays.stream(words[3].split(","))
                    .map(s -> "{\"segment\":" + s + ",\"boost\":" + 1.0 / words[3].split(",").length
                            + "}")
                    .collect(Collectors.joining(","));
            String body = "{\"segments\":[" + segments + "],\"text\":\"t" + words[0] + "\"}";
            return "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + words[0] + "\r\nX-Call-Class: "
                    + words[1]
                    + "\r\nX-Budget-Ms: " + words[2] + "\r\n"
                    + (words.length > 4 ? "Idempotency-Key: " + words[4] + "\r\n" : "")
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** Status, "close" and "again" where the head says so, and the body of a 200. */
        private String readAnswer() throws IOException {
            InputStream in = socket.getInputStream();
            String head = head(in).toLowerCase(Locale.ROOT);
            if (head.startsWith("http/1.1 100 ")) {
                return "100";
            }
            int at = head.indexOf("content-length: ") + 16;
            int length = Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8).strip();
            String status = head.split(" ", 0)[1];
            return status
                    + (head.contains("connection: close") ? " close" : "")
                    + (head.contains("retry-after: ") ? " again" : "")
                    + (status.equals("200") ? " " + StubServer.brief(body) : "");
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
            }
        }

        private String readEnd() throws IOException {
            try {
                return socket.getInputStream().read() < 0 ? "end" : "a byte";
            } catch (SocketException e) {
                return "reset";
            }
        }

        private String readNothing() throws IOException {
            socket.setSoTimeout(QUIET_MS);
            try {
                return socket.getInputStream().read() < 0 ? "end" : "a byte";
            } catch (SocketTimeoutException e) {
                return "nothing";
            } finally {
                socket.setSoTimeout(TIMEOUT_MS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        LOG.removeHandler(handler);
        release(List.of(turnGate, timerGate, readGate));
        if (router != null) {
            router.stopNow();
        }
        if (process != null) {
            process.destroyForcibly();
        }
        discovery.close();
        secondDiscovery.close();
        for (StubServer s : dataNodes.values()) {
            s.close();
        }
        for (Client c : clients.values()) {
            c.close();
        }
    }
}
