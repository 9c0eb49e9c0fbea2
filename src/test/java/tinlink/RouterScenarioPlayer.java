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
 * Plays one scenario against a router on loopback sockets, with scripted clients, data nodes and
 * discovery servers that do exactly what the lines of the scenario say. The notation is described in
 * docs/scenarios.md.
 */
final class RouterScenarioPlayer implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final int SILENCE_WAIT_MS = 60;
    private static final int UPDATE_DELAY_MS = 150;
    private static final long POLL_NS = 20_000;
    private static final int BYTES_BETWEEN_READS = 13;
    private static final Logger LOG = Logger.getLogger("tinlink");
    private final Path dir;
    /** The lines that the router has logged and no step has read yet. */
    private final LinkedBlockingQueue<String> unreadLogLines = new LinkedBlockingQueue<>();

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
            unreadLogLines.add(new SimpleFormatter().formatMessage(logRecord));
        }

        @Override
        public void flush() {
            // Records are not buffered.
        }

        @Override
        public void close() {
            // The handler holds no resources.
        }
    };
    private final Map<String, String> settings = new LinkedHashMap<>();
    private final Map<String, StubServer> dataNodes = new LinkedHashMap<>();
    private final Map<String, Client> clients = new HashMap<>();
    private final StubServer discovery = new StubServer("disc", 0);
    /** The discovery server that the configuration can be switched to. */
    private final StubServer secondDiscovery = new StubServer("other", 0);

    private Router router;
    /** The router as a process of its own; null while it runs in the JVM of the test. */
    private Process process;

    private Thread stopThread;
    /** Whether the decision module is wrapped in a {@link FaultyCoordinator}. */
    private boolean faulty;
    /** Whether the router is drained for maintenance before it starts. */
    private boolean drainedAtStart;
    /** While set, each turn of the event loop waits here after its start. */
    private final AtomicReference<CountDownLatch> turnGate = new AtomicReference<>();
    /** While set, each timer of the decision module waits here. */
    private final AtomicReference<CountDownLatch> timerGate = new AtomicReference<>();
    /** While set, the I/O thread waits here after a read, before it notifies the event loop. */
    private final AtomicReference<CountDownLatch> readGate = new AtomicReference<>();
    /** How often a thread has reached a closed gate. */
    private final AtomicInteger gateArrivals = new AtomicInteger();
    /** The number of operations that the I/O thread has completed since the latest {@code hold}. */
    private final AtomicInteger completions = new AtomicInteger();

    /** The thread of the event loop. */
    private Thread loop;
    /** The port that the router listens on; 0, for any free port, unless clients connect before that. */
    private int port;

    /** Clients that try to connect before the router listens. */
    private final List<Thread> earlyClients = new ArrayList<>();

    RouterScenarioPlayer(Path dir) throws IOException {
        this.dir = dir;
        LOG.setUseParentHandlers(false);
        LOG.setLevel(Level.FINE);
        LOG.addHandler(handler);
        String[] defaults = {
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
        for (int i = 0; i < defaults.length; i += 2) {
            settings.put(defaults[i], defaults[i + 1]);
        }
    }

    void play(List<String> script) throws Exception {
        int lineNumber = 0;
        for (String raw : script) {
            lineNumber++;
            String line = raw.replaceAll("(^|\\s)#\\s.*", "").trim();
            try {
                for (String step : line.isEmpty() ? new String[0] : line.split(";;\\s*")) {
                    runStep(step.trim());
                }
            } catch (Exception | AssertionError e) {
                throw new AssertionError(
                        "line " + lineNumber + ": " + raw.trim() + "\n  " + e.getMessage(), e);
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
            case "blocked" ->
                awaitLoop(".IoThread", "the event loop does not wait for the I/O thread");
            case "rests" -> awaitLoop(".EventLoop", "the event loop does not wait for events");
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
                assertEquals(before + 1, gateArrivals.get(), "no further timer has fired");
            }
            case "pause" -> Thread.sleep(Long.parseLong(words[1]));
            case "within" -> {
                long startNs = System.nanoTime();
                runStep(rest);
                assertEquals(
                        true,
                        System.nanoTime() - startNs < 1_000_000 * Long.parseLong(words[1]),
                        "the step took longer than " + words[1] + " ms");
            }
            case "node" -> {
                StubServer dataNode =
                        new StubServer(words[1], Integer.parseInt(rest.split(" ", 0)[0]));
                dataNodes.put(words[1], dataNode);
                if (rest.endsWith(" full")) {
                    dataNode.fill();
                } else {
                    dataNode.accept();
                }
            }
            case "early" -> {
                choosePort();
                Client client = new Client();
                clients.put(words[1], client);
                earlyClients.add(new Thread(() -> client.connectEarly(rest)));
            }
            case "start" -> {
                discovery.accept();
                secondDiscovery.accept();
                start(line.endsWith(" warm"));
            }
            case "process" -> startProcess(words[1]);
            case "ready" -> awaitReady();
            case "kill" -> {
                process.destroyForcibly();
                process.waitFor();
            }
            case "terminate" -> process.destroy();
            case "ended" -> assertEquals(true, process.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            case "crowd" -> runCrowd(words[1], rest);
            case "stop" -> {
                stopThread = new Thread(() -> {
                    try {
                        router.stopAndWait();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                stopThread.start();
            }
            case "stopped" -> {
                stopThread.join(TIMEOUT_MS);
                assertEquals(false, stopThread.isAlive(), "the router has not stopped");
            }
            case "drain" -> {
                drainedAtStart = router == null;
                if (router != null) {
                    router.setDraining(true);
                }
            }
            case "resume" -> {
                router.setDraining(false);
                assertEquals(1, router.workInFlight(), "the router accepts clients again");
            }
            case "drained" -> {
                long deadlineNs = System.nanoTime() + 1_000_000L * TIMEOUT_MS;
                while (router.workInFlight() > 0 && System.nanoTime() < deadlineNs) {
                    Thread.sleep(1);
                }
                assertEquals(0, router.workInFlight(), "clients and lookups");
            }
            case "log" -> {
                long deadlineNs = System.nanoTime() + 1_000_000L * TIMEOUT_MS;
                String next = unreadLogLines.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
                while (next != null && !next.contains(rest)) {
                    next = unreadLogLines.poll(
                            deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                assertEquals(true, next != null, "no log line contains: " + rest);
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
                StubServer current = line.endsWith(" back") ? secondDiscovery : discovery;
                Files.writeString(
                        configFile(),
                        Files.readString(configFile())
                                .replace(
                                        ":" + current.port() + "\"",
                                        ":"
                                                + (current == secondDiscovery
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
                    clients.computeIfAbsent(words[0], key -> new Client()).runStep(words[1], rest);
                }
            }
        }
    }

    /** Connects that many clients, each of which sends the request, or closes or reconnects them. */
    private void runCrowd(String size, String request) throws IOException {
        if (size.equals("leaves") || size.equals("returns")) {
            for (Map.Entry<String, Client> entry : clients.entrySet()) {
                if (entry.getKey().startsWith("crowd")) {
                    entry.getValue().close();
                    if (size.equals("returns")) {
                        entry.getValue().socket = null;
                        entry.getValue().connect();
                    }
                }
            }
            return;
        }
        for (int i = 0; i < Integer.parseInt(size); i++) {
            Client client = clients.computeIfAbsent("crowd" + i, key -> new Client());
            client.connect();
            client.socket
                    .getOutputStream()
                    .write(ParserPlayer.bytes(request.replace("{i}", "" + i)));
        }
    }

    // ---- The router under test. ----

    private void start(boolean warm) throws Exception {
        configure();
        RouterConfig config = new RouterConfig(Map.of(
                "NODE_CONFIG",
                configFile().toString(),
                "NODE_LOG",
                "OFF",
                "NODE_DISCOVERY",
                "127.0.0.1:" + discovery.port()));
        QueryCoordinator module =
                faulty ? new FaultyCoordinator(config.decision.module) : config.decision.module;
        router = new Router(config, new GatedCoordinator(module), this::runCompletion);
        if (drainedAtStart) {
            router.setDraining(true);
        }
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
        for (Thread earlyClient : earlyClients) {
            earlyClient.join(TIMEOUT_MS);
        }
        HangupSignal.onHangup(router::reload);
    }

    private void configure() throws IOException {
        String endpoints =
                dataNodes.values().stream().map(StubServer::entry).collect(Collectors.joining(","));
        Files.writeString(
                configFile(),
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                        + settings.get("sockets") + ",\"memory_mb\":" + settings.get("memory")
                        + "},\"known\":{\"rev\":41,\"all\":true,\"targets\":[" + endpoints
                        + "]},\"settings\":{\"discovery\":\"" + settings.get("lists")
                        + "\",\"stepMs\":5,\"zone\":0,\"localities\":[\"east\",\"west\"],"
                        + "\"models\":[\"m\"],\"familyInfo\":{" + group("familyInfo.")
                        + "},\"limits\":{"
                        + group("limits.") + "},\"profiles\":["
                        + profile("any", "pure") + "," + profile("all", "pure") + ","
                        + profile("pay", "token") + "," + profile("once", "side_effect") + "]"
                        + "}}");
    }

    // ---- The router as a process of its own. ----

    /** Starts the router with that limit of file descriptors, and returns when it listens. */
    private void startProcess(String descriptors) throws Exception {
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
        BufferedReader output = process.inputReader();
        Thread outputReader = new Thread(() -> {
            try {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                    unreadLogLines.add(line);
                }
            } catch (IOException e) {
                // The process has been killed.
            }
        });
        outputReader.setDaemon(true);
        outputReader.start();
        for (int i = 0; i < TIMEOUT_MS; i++) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (ConnectException e) {
                Thread.sleep(1);
            }
        }
        throw new AssertionError("the router does not listen on port " + port);
    }

    /** Sets a free port, so that the address is known before the router listens. */
    private void choosePort() throws IOException {
        if (port == 0) {
            try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = probe.getLocalPort();
            }
        }
    }

    /** Waits until the readiness path that balancers query answers 200. */
    private void awaitReady() throws Exception {
        for (int i = 0; i < TIMEOUT_MS; i++) {
            Client client = new Client();
            try {
                client.runStep(">", "GET /-/ready HTTP/1.1\\r\\n\\r\\n");
                if (client.readAnswer().equals("200 ready")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(1); // Not listening yet, or closed without an answer.
            } finally {
                client.close();
            }
        }
        throw new AssertionError("the router is not ready");
    }

    private Path configFile() {
        return dir.resolve("config.json");
    }

    /** The settings with that prefix, as members of a JSON object. */
    private String group(String prefix) {
        return settings.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .map(entry ->
                        "\"" + entry.getKey().substring(prefix.length()) + "\":" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    /** The JSON object of one lookup class. */
    private String profile(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect
                + "\",\"deadlineMs\":" + settings.get("deadline")
                + ",\"onTimeMs\":3000,\"windowMs\":" + settings.get("window") + ",\"worth\":1}";
    }

    /** Wraps the decision module and passes every call on. */
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
        public void onEndpointListUpdate(EndpointListUpdate update) {
            module.onEndpointListUpdate(update);
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
        public boolean decide(DecisionHandler decisionHandler) {
            return module.decide(decisionHandler);
        }
    }

    /** Holds the event loop at the start of a turn, before it reads its input, or in a timer. */
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

    /** Waits until the gate is released, if it is closed. */
    private void awaitGate(AtomicReference<CountDownLatch> gate) {
        CountDownLatch closed = gate.get();
        gateArrivals.addAndGet(closed == null ? 0 : 1);
        try {
            assertEquals(
                    true,
                    closed == null || closed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the gate was not released in time");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a completion handler of the router. Handlers on the event loop thread are never held. */
    private void runCompletion(Runnable completion) {
        if (Thread.currentThread() == loop) {
            completion.run();
            return;
        }
        awaitGate(readGate);
        completion.run();
        completions.incrementAndGet();
    }

    /** Waits until the event loop thread is blocked in a method of the class with that name suffix. */
    private void awaitLoop(String classSuffix, String failureMessage) throws InterruptedException {
        for (int i = 0; i < TIMEOUT_MS; i++) {
            StackTraceElement topFrame = Arrays.stream(loop.getStackTrace())
                    .filter(frame -> frame.getClassName().startsWith("tinlink."))
                    .findFirst()
                    .orElse(null);
            if (loop.getState() != Thread.State.RUNNABLE
                    && topFrame != null
                    && topFrame.getClassName().endsWith(classSuffix)) {
                return;
            }
            Thread.sleep(1);
        }
        throw new AssertionError(failureMessage);
    }

    private static void awaitCount(AtomicInteger count, int minimum) throws InterruptedException {
        long deadlineNs = System.nanoTime() + 1_000_000L * TIMEOUT_MS;
        while (count.get() < minimum && System.nanoTime() < deadlineNs) {
            LockSupport.parkNanos(POLL_NS);
        }
        assertEquals(
                true, count.get() >= minimum, "expected " + minimum + ", found " + count.get());
    }

    private void release(List<AtomicReference<CountDownLatch>> gates) {
        for (AtomicReference<CountDownLatch> gate : gates) {
            CountDownLatch closed = gate.getAndSet(null);
            if (closed != null) {
                closed.countDown();
            }
        }
    }

    /**
     * A decision module that throws at every pull while a lookup with a part for shard 11 is in flight.
     */
    private static final class FaultyCoordinator extends DelegatingCoordinator {
        private final List<Lookup> faultyLookups = new ArrayList<>();

        FaultyCoordinator(QueryCoordinator module) {
            super(module);
        }

        @Override
        public void onPart(Part part) {
            super.onPart(part);
            if (part.shard == 11) {
                faultyLookups.add(part.lookup);
            }
        }

        @Override
        public void onClientGone(Lookup lookup) {
            super.onClientGone(lookup);
            faultyLookups.remove(lookup);
        }

        @Override
        public boolean decide(DecisionHandler decisionHandler) {
            if (!faultyLookups.isEmpty()) {
                throw new IllegalStateException("fault injected by the scenario");
            }
            return super.decide(decisionHandler);
        }
    }

    // ---- Data nodes and discovery. ----

    /** A scripted data node or discovery server. */
    private final class StubServer {
        private final String name;
        private final int cell;
        private ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final int port = server.getLocalPort();
        /** Whether connections are accepted but not read. */
        private volatile boolean stopsReading;
        /** The timeout in the newest attempt for a part id, in milliseconds. */
        private final Map<String, Integer> timeoutsMs = new ConcurrentHashMap<>();

        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        /** Connections that fill the accept queue of the kernel; see {@link #fill}. */
        private final List<Socket> backlogFillers = new ArrayList<>();
        /** The frames, requests and closes seen and not yet read by a step. */
        private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        /** The connection that received the newest attempt for a part id. */
        private final Map<String, Socket> connectionByPart = new ConcurrentHashMap<>();
        /** The first update of a discovery watch, sent after a delay; empty to send none. */
        private String firstUpdate = "{\"rev\":41,\"all\":false,\"targets\":[]}";

        private int firstUpdateDelayMs;
        /** Whether discovery accepts connections and sends nothing. */
        private volatile boolean hangs;
        /** The connection of the latest request to discovery. */
        private volatile Socket watchConnection;
        /** The text that a discovery watch sends again and again; empty to send none. */
        private String endlessText = "";
        /** The name of the node that the full list shows as draining; empty for none. */
        private volatile String drainingNode = "";
        /** The name of the node that the full list omits; empty for none. */
        private volatile String missingNode = "";
        /** Whether the first update of a watch is the full list. */
        private volatile boolean startsWithFullList;

        StubServer(String name, int cell) throws IOException {
            this.name = name;
            this.cell = cell;
        }

        /**
         * Fills the short accept queue of the kernel, so that further connects stay pending until
         * the server accepts again.
         */
        void fill() throws IOException {
            server.close();
            server = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            for (int i = 0; i < 2; i++) {
                backlogFillers.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        }

        void accept() {
            Thread acceptThread = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = server.accept();
                        if (backlogFillers.stream()
                                .anyMatch(filler -> filler.getLocalPort() == socket.getPort())) {
                            continue;
                        }
                        connections.add(socket);
                        Thread readThread = new Thread(() -> listen(socket));
                        readThread.setDaemon(true);
                        readThread.start();
                    }
                } catch (IOException e) {
                    // A step of the scenario has closed the server socket.
                }
            });
            acceptThread.setDaemon(true);
            acceptThread.start();
        }

        int port() {
            return port;
        }

        /** The entry of this data node in the endpoint list. */
        String entry() {
            return entry("in_service", 0);
        }

        private String entry(String state, long bootMs) {
            return "{\"uid\":\"" + name + "\",\"endpoint\":\"127.0.0.1:" + port
                    + "\",\"az\":\"east\","
                    + "\"model\":\"m\",\"pod_group\":" + cell + ",\"state\":\"" + state
                    + "\",\"boot_ms\":" + bootMs + "}";
        }

        private void listen(Socket socket) {
            try {
                InputStream in = socket.getInputStream();
                if (this == discovery || this == secondDiscovery) {
                    String path = head(in).split(" ", 0)[1];
                    watchConnection = socket;
                    while (!path.contains("watch=") && !hangs) {
                        socket.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nContent-Length: "
                                                + fullList().length() + "\r\n\r\n" + fullList())
                                        .getBytes(StandardCharsets.UTF_8));
                        received.add(path);
                        path = head(in).split(" ", 0)[1];
                    }
                    if (!hangs) {
                        serveWatch(socket);
                    }
                    // Last, since the scenario may send a line as soon as it sees the path.
                    received.add(path);
                    in.read();
                } else {
                    while (stopsReading) {
                        Thread.sleep(1);
                    }
                    for (DataInputStream frames = new DataInputStream(in); ; ) {
                        byte[] frame = new byte[frames.readInt()];
                        frames.readFully(frame);
                        received.add(describe(socket, new String(frame, StandardCharsets.UTF_8)));
                    }
                }
                received.add("closed");
            } catch (IOException | InterruptedException e) {
                if (socket == watchConnection
                        || (this != discovery && this != secondDiscovery)
                        || !(e instanceof EOFException)) {
                    received.add("closed");
                }
            }
        }

        /** Answers a watch request with the first update and, if set, the endless text. */
        private void serveWatch(Socket socket) throws IOException, InterruptedException {
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            Thread.sleep(firstUpdateDelayMs);
            if (!firstUpdate.isEmpty()) {
                writeChunks(socket, (startsWithFullList ? fullList() : firstUpdate) + "\n");
            }
            if (!endlessText.isEmpty()) {
                Thread writeThread = new Thread(() -> {
                    try {
                        for (; ; ) {
                            Thread.sleep(UPDATE_DELAY_MS);
                            writeChunks(socket, endlessText);
                        }
                    } catch (IOException | InterruptedException e) {
                        // The router has closed the connection.
                    }
                });
                writeThread.setDaemon(true);
                writeThread.start();
            }
        }

        /** The full list, over several lines and with a revision number independent of the updates. */
        private String fullList() {
            return "{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n    "
                    + dataNodes.values().stream()
                            .filter(node -> !node.name.equals(missingNode))
                            .map(node -> node.entry(
                                    node.name.equals(drainingNode) ? "terminating" : "in_service",
                                    0))
                            .collect(Collectors.joining(",\n    "))
                    + "\n  ]\n}";
        }

        /** A frame in the notation of scenarios: type, then id, shard, key and text of each part. */
        private String describe(Socket socket, String frame) {
            if (frame.charAt(0) != 'R') {
                return frame.charAt(0) + " " + frame.substring(1);
            }
            List<String> parts = new ArrayList<>();
            for (int at = 1; at < frame.length(); ) {
                int lineEnd = frame.indexOf('\n', at);
                String[] words = frame.substring(at, lineEnd).split(" ", 0);
                at = lineEnd + 1 + Integer.parseInt(words[3]);
                connectionByPart.put(words[0], socket);
                timeoutsMs.put(words[0], Integer.parseInt(words[2].replaceAll("^d=|,.*", "")));
                parts.add(words[0] + " " + words[1]
                        + words[2].replaceAll("^d=[1-9][0-9]*", "").replace(",", " ") + " "
                        + brief(frame.substring(lineEnd + 1, at)));
            }
            return "R " + String.join(" + ", parts);
        }

        private static String brief(String text) {
            return text.length() > 999 ? text.length() + " bytes" : text;
        }

        void runStep(String verb, String rest) throws Exception {
            switch (verb) {
                case "<" -> {
                    // The close of a connection and the frames of the next are recorded by two
                    // threads, in any order.
                    for (int i = 0; rest.equals("closed") && i < TIMEOUT_MS; i++) {
                        if (received.remove(rest)) {
                            return;
                        }
                        Thread.sleep(1);
                    }
                    String next = received.poll(
                            rest.equals("nothing") ? SILENCE_WAIT_MS : TIMEOUT_MS,
                            TimeUnit.MILLISECONDS);
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
                    int maxMs = Integer.parseInt(words[1]);
                    int timeoutMs = timeoutsMs.get(words[0]);
                    assertEquals(
                            true,
                            timeoutMs <= maxMs,
                            "the timeout in the attempt is " + timeoutMs + " ms");
                }
                case "until" -> awaitFrame(rest);
                case "lists" -> writeChunks(newestConnection(), fullList() + "\n");
                case "tells" -> writeChunks(newestConnection(), change(rest) + "\n");
                case "says" -> writeChunks(newestConnection(), rest + "\n");
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
                        firstUpdateDelayMs = UPDATE_DELAY_MS;
                    }
                }
                case "links" ->
                    assertEquals(
                            Integer.parseInt(rest),
                            connections.size(),
                            "connections accepted so far");
                case "refuses" -> refuse();
                case "returns" -> {
                    server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
                    accept();
                }
                case "accepts" -> accept();
                default -> throw new IllegalArgumentException("unknown step: " + verb);
            }
        }

        /** MAXIMUM FRAME: waits for that frame; at most that many request frames may precede it. */
        private void awaitFrame(String rest) throws InterruptedException {
            String[] words = rest.split(" ", 2);
            int requests = 0;
            String next = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            while (next != null && !next.equals(words[1])) {
                requests += next.startsWith("R ") ? 1 : 0;
                next = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            assertEquals(words[1], next);
            assertEquals(
                    true,
                    requests <= Integer.parseInt(words[0]),
                    requests + " request frames arrived before the expected one");
        }

        /**
         * Closes the server socket and waits until connects are refused. The kernel accepts connections
         * until the accepting thread has left its call.
         */
        private void refuse() throws IOException {
            server.close();
            for (boolean accepted = true; accepted; ) {
                try {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                } catch (ConnectException e) {
                    accepted = false;
                } catch (SocketException e) {
                    // Accepted by the kernel and reset at once.
                }
            }
        }

        /** NODE STATE [BOOT]: an update with one changed entry. */
        private String change(String rest) {
            String[] words = rest.split(" ", 0);
            String entry = dataNodes
                    .get(words[0])
                    .entry(words[1], words.length > 2 ? Long.parseLong(words[2]) : 0);
            return "{\"rev\":50,\"all\":false,\"targets\":[" + entry + "]}";
        }

        /** Writes the text in small chunks, so that the router has to join them. */
        private static void writeChunks(Socket to, String text) throws IOException {
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
                    writeFrame(connectionByPart.get(words[1]), answer(words));
                case "N" ->
                    writeFrame(newestConnection(), "N" + String.join(" ", words).substring(1));
                case "frame" ->
                    writeFrame(
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
                default ->
                    throw new IllegalArgumentException("unknown kind of message: " + words[0]);
            }
        }

        private static String answer(String[] words) {
            return "Y" + words[1] + " " + words[0] + " 7 -\n"
                    + (words.length > 2
                            ? new String(ParserPlayer.bytes(words[2]), StandardCharsets.UTF_8)
                            : "");
        }

        private static void writeFrame(Socket to, String content) throws IOException {
            to.getOutputStream().write(framed(content));
        }

        private static byte[] framed(String content) {
            byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(4 + bytes.length)
                    .putInt(bytes.length)
                    .put(bytes)
                    .array();
        }

        void close() throws IOException {
            server.close();
            for (Socket connection : connections) {
                connection.close();
            }
            for (Socket filler : backlogFillers) {
                filler.close();
            }
        }
    }

    /**
     * Sends each byte in a TCP segment of its own. At intervals it waits until the router has read all
     * bytes so far, so that the router also sees reads that end in the middle of a message.
     */
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

    /** Waits until the router has read all bytes sent, according to the socket table of the kernel. */
    private static void awaitRead(Socket socket) throws IOException, InterruptedException {
        Pattern emptyReceiveQueue = Pattern.compile(String.format(
                ":%04X [0-9A-F]+:%04X [0-9A-F]+ [0-9A-F]+:00000000 ",
                socket.getPort(), socket.getLocalPort()));
        for (int i = 0; i < TIMEOUT_MS; i++) {
            if (emptyReceiveQueue
                            .matcher(Files.readString(Path.of("/proc/net/tcp")))
                            .find()
                    || emptyReceiveQueue
                            .matcher(Files.readString(Path.of("/proc/net/tcp6")))
                            .find()) {
                return;
            }
            Thread.sleep(1);
        }
        throw new AssertionError("the router has not read all bytes sent");
    }

    /** Reads the head of an HTTP message, with the empty line. */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException(head.toString());
            }
            head.append((char) next);
        }
        return head.toString();
    }

    // ---- Clients. ----

    /** A scripted client with one connection. */
    private final class Client {
        private Socket socket;

        void connect() throws IOException {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(TIMEOUT_MS);
            }
        }

        /** Connects as soon as the router listens, and runs the step at once. */
        void connectEarly(String line) {
            String[] words = line.split(" ", 2);
            while (socket == null) {
                try {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setSoTimeout(TIMEOUT_MS);
                    runStep(words[0], words[1]);
                } catch (ConnectException e) {
                    Thread.onSpinWait(); // The router does not listen yet.
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        void runStep(String verb, String rest) throws Exception {
            connect();
            switch (verb) {
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
                case "floods" ->
                    assertEquals(true, flood() < 20 << 20, "the router accepted 20 MiB or more");
                default -> throw new IllegalArgumentException("unknown step: " + verb);
            }
        }

        /** Sends until the router has closed the connection; returns the number of bytes sent. */
        private int flood() {
            int sent = 0;
            try {
                for (byte[] block = new byte[1 << 16]; sent < 1 << 30; sent += block.length) {
                    socket.getOutputStream().write(block);
                }
            } catch (IOException e) {
                // The router has closed the connection.
            }
            return sent;
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** ID CLASS BUDGET SHARDS [KEY]: the request of one lookup. */
        private String request(String[] words) {
            String segments = Arrays.stream(words[3].split(","))
                    .map(shard -> "{\"segment\":" + shard + ",\"boost\":"
                            + 1.0 / words[3].split(",").length + "}")
                    .collect(Collectors.joining(","));
            String body = "{\"segments\":[" + segments + "],\"text\":\"t" + words[0] + "\"}";
            return "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + words[0] + "\r\nX-Call-Class: "
                    + words[1]
                    + "\r\nX-Budget-Ms: " + words[2] + "\r\n"
                    + (words.length > 4 ? "Idempotency-Key: " + words[4] + "\r\n" : "")
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /**
         * Reads a response: its status, "close" if the connection closes, "again" if there is a
         * Retry-After, and the body of a 200.
         */
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
            socket.setSoTimeout(SILENCE_WAIT_MS);
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
        for (StubServer dataNode : dataNodes.values()) {
            dataNode.close();
        }
        for (Client client : clients.values()) {
            client.close();
        }
    }
}
