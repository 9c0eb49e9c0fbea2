package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import tinlink.decision.Aggregator;
import tinlink.decision.DataNode;
import tinlink.decision.Host;
import tinlink.decision.Lookup;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.PartCall;
import tinlink.experiment.processes.RouterProcess;
import tinlink.net.ParserPlayer;
import tinlink.router.Router;
import tinlink.start.Hangup;
import tinlink.start.RouterStart;

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
final class RouterPlayer implements AutoCloseable {
    private static final int PATIENCE_MS = 10_000;
    private static final int QUIET_MS = 60;
    private static final int LATE_MS = 150;
    private static final long POLL_NS = 20_000;
    private static final int BYTES_BETWEEN_READS = 13;
    private static final Logger LOG = Logger.getLogger("tinlink");
    private final Path dir;
    /** What the router has logged and no line of the script has looked at. */
    private final LinkedBlockingQueue<String> logged = new LinkedBlockingQueue<>();

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord r) {
            logged.add(new SimpleFormatter().formatMessage(r));
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
    private final Map<String, StandIn> standIns = new LinkedHashMap<>();
    private final Map<String, Client> clients = new HashMap<>();
    private final StandIn discovery = new StandIn("disc", 0);
    /** Where discovery moves to. */
    private final StandIn other = new StandIn("other", 0);

    private Router router;
    /** The router where it is a process of its own. */
    private Process process;

    private Thread stopping;
    private boolean faulty;
    /** While there is one, a turn of the router's waits for it after it has begun. */
    private final AtomicReference<CountDownLatch> gate = new AtomicReference<>();
    /** The same in a timer of the module's. */
    private final AtomicReference<CountDownLatch> timers = new AtomicReference<>();
    /** The same in the I/O thread, between the read of a connection and the loop's hearing of it. */
    private final AtomicReference<CountDownLatch> reads = new AtomicReference<>();
    /** How often the loop has come to a closed one. */
    private final AtomicInteger held = new AtomicInteger();
    /** What the I/O thread has completed since the latest {@code hold}. */
    private final AtomicInteger completions = new AtomicInteger();

    private Thread loop;
    /** Where the router listens; 0 for any, unless clients come before it does. */
    private int port;

    private final List<Thread> early = new ArrayList<>();

    RouterPlayer(Path dir) throws IOException {
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
                    line(one.trim());
                }
            } catch (Exception | AssertionError e) {
                throw new AssertionError(
                        "line " + no + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
    }

    private void line(String line) throws Exception {
        String[] w = line.split(" ", 3);
        String rest = w.length > 2 ? w[2] : "";
        switch (w[0]) {
            case "set" -> settings.put(w[1], rest);
            case "faulty" -> faulty = true;
            case "hold" -> {
                completions.set(0);
                (line.endsWith(" timers") ? timers : line.endsWith(" reads") ? reads : gate)
                        .set(new CountDownLatch(1));
            }
            case "held" -> awaitCount(held, w.length > 1 ? Integer.parseInt(w[1]) : 1);
            case "blocked" -> awaitLoop(".IoThread", "the loop does not wait for the I/O thread");
            case "rests" -> awaitLoop(".Loop", "the loop does not wait for events");
            case "completions" -> awaitCount(completions, Integer.parseInt(w[1]));
            case "release" ->
                release(
                        line.endsWith(" turn")
                                ? List.of(gate)
                                : line.endsWith(" timers")
                                        ? List.of(timers)
                                        : List.of(gate, timers, reads));
            case "step" -> {
                int before = held.get();
                timers.getAndSet(new CountDownLatch(1)).countDown();
                for (int i = 0; held.get() == before && i < PATIENCE_MS; i++) {
                    Thread.sleep(1);
                }
                assertEquals(before + 1, held.get(), "no further timer");
            }
            case "pause" -> Thread.sleep(Long.parseLong(w[1]));
            case "within" -> {
                long from = System.nanoTime();
                line(rest);
                assertEquals(
                        true,
                        System.nanoTime() - from < 1_000_000 * Long.parseLong(w[1]),
                        "too late");
            }
            case "node" -> {
                StandIn s = new StandIn(w[1], Integer.parseInt(rest.split(" ", 0)[0]));
                standIns.put(w[1], s);
                if (rest.endsWith(" full")) {
                    s.fill();
                } else {
                    s.accept();
                }
            }
            case "early" -> {
                choosePort();
                Client c = new Client();
                clients.put(w[1], c);
                early.add(new Thread(() -> c.early(rest)));
            }
            case "start" -> {
                discovery.accept();
                other.accept();
                start(line.endsWith(" warm"));
            }
            case "process" -> process(w[1]);
            case "ready" -> awaitReady();
            case "kill" -> {
                process.destroyForcibly();
                process.waitFor();
            }
            case "terminate" -> process.destroy();
            case "ended" -> assertEquals(true, process.waitFor(PATIENCE_MS, TimeUnit.MILLISECONDS));
            case "crowd" -> crowd(w[1], rest);
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
                stopping.join(PATIENCE_MS);
                assertEquals(false, stopping.isAlive(), "still stopping");
            }
            case "log" -> {
                long until = System.nanoTime() + 1_000_000L * PATIENCE_MS;
                String next = logged.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
                while (next != null && !next.contains(rest)) {
                    next = logged.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                assertEquals(true, next != null, "nothing like it was logged");
            }
            case "disc" -> discovery.line(w[1], rest);
            case "other" -> other.line(w[1], rest);
            case "configured" ->
                Files.writeString(
                        config(),
                        line.substring(w[0].length())
                                .trim()
                                .replace("OTHER", "127.0.0.1:" + other.port()));
            case "moves" -> {
                StandIn from = line.endsWith(" back") ? other : discovery;
                Files.writeString(
                        config(),
                        Files.readString(config())
                                .replace(
                                        ":" + from.port() + "\"",
                                        ":" + (from == other ? discovery : other).port() + "\""));
            }
            case "hangup" ->
                new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start();
            default -> {
                if (standIns.containsKey(w[0])) {
                    standIns.get(w[0]).line(w[1], rest);
                } else {
                    clients.computeIfAbsent(w[0], n -> new Client()).line(w[1], rest);
                }
            }
        }
    }

    private void crowd(String size, String says) throws IOException {
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
        RouterStart from = new RouterStart(Map.of(
                "NODE_CONFIG",
                config().toString(),
                "NODE_LOG",
                "OFF",
                "NODE_DISCOVERY",
                "127.0.0.1:" + discovery.port()));
        Aggregator module = faulty ? new Faulty(from.built.module) : from.built.module;
        router = new Router(from, new Gated(module), this::handler);
        early.forEach(Thread::start);
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
        for (Thread t : early) {
            t.join(PATIENCE_MS);
        }
        Hangup.hear(router::reload);
    }

    private void configure() throws IOException {
        String known =
                standIns.values().stream().map(StandIn::entry).collect(Collectors.joining(","));
        Files.writeString(
                config(),
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
                .putAll(Map.of("NODE_CONFIG", config().toString(), "NODE_LOG", "FINE"));
        process = builder.start();
        BufferedReader says = process.inputReader();
        Thread reads = new Thread(() -> {
            try {
                for (String line = says.readLine(); line != null; line = says.readLine()) {
                    logged.add(line);
                }
            } catch (IOException e) {
                // The process has been killed.
            }
        });
        reads.setDaemon(true);
        reads.start();
        for (int i = 0; i < PATIENCE_MS; i++) {
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
        for (int i = 0; i < PATIENCE_MS; i++) {
            Client front = new Client();
            try {
                front.line(">", "GET /-/ready HTTP/1.1\\r\\n\\r\\n");
                if (front.answer().equals("200 ready")) {
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

    private Path config() {
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
    private abstract static class Before implements Aggregator {
        private final Aggregator module;

        Before(Aggregator module) {
            this.module = module;
        }

        @Override
        public void clock(long nowUs) {
            module.clock(nowUs);
        }

        @Override
        public void lookup(Lookup lk) {
            module.lookup(lk);
        }

        @Override
        public void part(Part p) {
            module.part(p);
        }

        @Override
        public void outcome(PartCall call, Outcome how, long tookUs, long reportedLatencyUs) {
            module.outcome(call, how, tookUs, reportedLatencyUs);
        }

        @Override
        public void listed(DataNode node, boolean restarted) {
            module.listed(node, restarted);
        }

        @Override
        public void nodes(News news) {
            module.nodes(news);
        }

        @Override
        public void probed(DataNode node, Outcome how, long tookUs, long reportedLatencyUs) {
            module.probed(node, how, tookUs, reportedLatencyUs);
        }

        @Override
        public void timer() {
            module.timer();
        }

        @Override
        public void clientGone(Lookup lk) {
            module.clientGone(lk);
        }

        @Override
        public boolean decide(Host host) {
            return module.decide(host);
        }
    }

    /** Stops the loop between the begin of a turn and what it takes, or in a timer. */
    private final class Gated extends Before {
        Gated(Aggregator module) {
            super(module);
        }

        @Override
        public void clock(long nowUs) {
            pass(gate);
            super.clock(nowUs);
        }

        @Override
        public void timer() {
            pass(timers);
            super.timer();
        }
    }

    private void pass(AtomicReference<CountDownLatch> gate) {
        CountDownLatch closed = gate.get();
        held.addAndGet(closed == null ? 0 : 1);
        try {
            assertEquals(
                    true,
                    closed == null || closed.await(PATIENCE_MS, TimeUnit.MILLISECONDS),
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
        pass(reads);
        what.run();
        completions.incrementAndGet();
    }

    /** Waits until the loop's thread waits in a method of that class. */
    private void awaitLoop(String waitsIn, String ifNot) throws InterruptedException {
        for (int i = 0; i < PATIENCE_MS; i++) {
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
        long until = System.nanoTime() + 1_000_000L * PATIENCE_MS;
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
    private static final class Faulty extends Before {
        private final List<Lookup> poison = new ArrayList<>();

        Faulty(Aggregator module) {
            super(module);
        }

        @Override
        public void part(Part p) {
            super.part(p);
            if (p.shard == 11) {
                poison.add(p.lookup);
            }
        }

        @Override
        public void clientGone(Lookup lk) {
            super.clientGone(lk);
            poison.remove(lk);
        }

        @Override
        public boolean decide(Host host) {
            if (!poison.isEmpty()) {
                throw new IllegalStateException("a fault for the test");
            }
            return super.decide(host);
        }
    }

    // ---- A data node or discovery. ----

    private final class StandIn {
        private final String name;
        private final int cell;
        private ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final int port = server.getLocalPort();
        /** Takes connections and does not read. */
        private volatile boolean deaf;
        /** How long the newest part call of an id is waited for, in milliseconds. */
        private final Map<String, Integer> waits = new ConcurrentHashMap<>();

        private final List<Socket> links = new CopyOnWriteArrayList<>();
        private final List<Socket> filling = new ArrayList<>();
        private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
        /** Where the newest part call of an id came in. */
        private final Map<String, Socket> from = new ConcurrentHashMap<>();
        /** What discovery tells first, a while after it is asked; empty where it is silent. */
        private String first = "{\"rev\":41,\"all\":false,\"targets\":[]}";

        private int firstAfterMs;
        /**
         * Discovery takes connections and says nothing; a watch of its goes on saying this without
         * end.
         */
        private volatile boolean hangs;
        /** Where discovery was asked most recently. */
        private volatile Socket asks;

        private String drips = "";
        /** Which nodes the whole list has as draining, and has not. */
        private volatile String drains = "";

        private volatile String left = "";
        /** It tells the whole list first. */
        private volatile boolean beginsWhole;

        StandIn(String name, int cell) throws IOException {
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
                filling.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        }

        void accept() {
            Thread t = new Thread(() -> {
                try {
                    while (true) {
                        Socket s = server.accept();
                        if (filling.stream().anyMatch(f -> f.getLocalPort() == s.getPort())) {
                            continue;
                        }
                        links.add(s);
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
                if (this == discovery || this == other) {
                    String path = head(in).split(" ", 0)[1];
                    asks = s;
                    while (!path.contains("watch=") && !hangs) {
                        s.getOutputStream()
                                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + whole().length()
                                                + "\r\n\r\n" + whole())
                                        .getBytes(StandardCharsets.UTF_8));
                        heard.add(path);
                        path = head(in).split(" ", 0)[1];
                    }
                    if (!hangs) {
                        watched(s);
                    }
                    heard.add(path); // Only now: the script may say a line as soon as it sees this.
                    in.read();
                } else {
                    while (deaf) {
                        Thread.sleep(1);
                    }
                    for (DataInputStream d = new DataInputStream(in); ; ) {
                        byte[] frame = new byte[d.readInt()];
                        d.readFully(frame);
                        heard.add(told(s, new String(frame, StandardCharsets.UTF_8)));
                    }
                }
                heard.add("closed");
            } catch (IOException | InterruptedException e) {
                if (s == asks
                        || (this != discovery && this != other)
                        || !(e instanceof EOFException)) {
                    heard.add("closed");
                }
            }
        }

        private void watched(Socket s) throws IOException, InterruptedException {
            s.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            Thread.sleep(firstAfterMs);
            if (!first.isEmpty()) {
                chunks(s, (beginsWhole ? whole() : first) + "\n");
            }
            if (!drips.isEmpty()) {
                Thread t = new Thread(() -> {
                    try {
                        for (; ; ) {
                            Thread.sleep(LATE_MS);
                            chunks(s, drips);
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
        private String whole() {
            return "{\n  \"rev\": 7,\n  \"all\": true,\n  \"targets\": [\n    "
                    + standIns.values().stream()
                            .filter(n -> !n.name.equals(left))
                            .map(n -> n.entry(
                                    n.name.equals(drains) ? "terminating" : "in_service", 0))
                            .collect(Collectors.joining(",\n    "))
                    + "\n  ]\n}";
        }

        /** A frame as the script says it: letter, then id, shard, key and text of each part. */
        private String told(Socket s, String frame) {
            if (frame.charAt(0) != 'R') {
                return frame.charAt(0) + " " + frame.substring(1);
            }
            List<String> parts = new ArrayList<>();
            for (int at = 1; at < frame.length(); ) {
                int lf = frame.indexOf('\n', at);
                String[] w = frame.substring(at, lf).split(" ", 0);
                at = lf + 1 + Integer.parseInt(w[3]);
                from.put(w[0], s);
                waits.put(w[0], Integer.parseInt(w[2].replaceAll("^d=|,.*", "")));
                parts.add(w[0] + " " + w[1]
                        + w[2].replaceAll("^d=[1-9][0-9]*", "").replace(",", " ") + " "
                        + brief(frame.substring(lf + 1, at)));
            }
            return "R " + String.join(" + ", parts);
        }

        private static String brief(String text) {
            return text.length() > 999 ? text.length() + " bytes" : text;
        }

        void line(String what, String rest) throws Exception {
            switch (what) {
                case "<" -> {
                    // The end of one connection and what comes on the next are seen by two threads.
                    for (int i = 0; rest.equals("closed") && i < PATIENCE_MS; i++) {
                        if (heard.remove(rest)) {
                            return;
                        }
                        Thread.sleep(1);
                    }
                    String next = heard.poll(
                            rest.equals("nothing") ? QUIET_MS : PATIENCE_MS, TimeUnit.MILLISECONDS);
                    assertEquals(rest.equals("nothing") ? null : rest, next);
                }
                case ">" -> says(rest.split(" ", 3));
                case "slowly" -> {
                    if (this == discovery || this == other) {
                        String chunk =
                                Integer.toHexString(rest.length() + 1) + "\r\n" + rest + "\n\r\n";
                        byteByByte(newest(), chunk.getBytes(StandardCharsets.UTF_8));
                    } else {
                        String[] w = rest.split(" ", 3);
                        byteByByte(from.get(w[1]), framed(answer(w)));
                    }
                }
                case "deaf" -> {
                    deaf = true;
                    server.setReceiveBufferSize(1 << 12);
                }
                case "hears" -> deaf = false;
                case "waits" -> {
                    String[] w = rest.split(" ");
                    int most = Integer.parseInt(w[1]);
                    int told = waits.get(w[0]);
                    assertEquals(
                            true, told <= most, "it was told to be waited for " + told + " ms");
                }
                case "until" -> until(rest);
                case "lists" -> chunks(newest(), whole() + "\n");
                case "tells" -> chunks(newest(), change(rest) + "\n");
                case "says" -> chunks(newest(), rest + "\n");
                case "silent" -> first = "";
                case "hangs" -> hangs = true;
                case "answers" -> hangs = false;
                case "drips" ->
                    drips = new String(ParserPlayer.bytes(rest), StandardCharsets.UTF_8);
                case "drains" -> drains = rest;
                case "lacks" -> left = rest;
                case "begins" -> {
                    beginsWhole = rest.equals("whole");
                    if (!beginsWhole) {
                        first = change(rest);
                        firstAfterMs = LATE_MS;
                    }
                }
                case "links" -> assertEquals(Integer.parseInt(rest), links.size(), "links in all");
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
        private void until(String rest) throws InterruptedException {
            String[] w = rest.split(" ", 2);
            int calls = 0;
            String next = heard.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            while (next != null && !next.equals(w[1])) {
                calls += next.startsWith("R ") ? 1 : 0;
                next = heard.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            assertEquals(w[1], next);
            assertEquals(true, calls <= Integer.parseInt(w[0]), calls + " part calls came before");
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
            String[] w = rest.split(" ", 0);
            String entry = standIns.get(w[0]).entry(w[1], w.length > 2 ? Long.parseLong(w[2]) : 0);
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

        private Socket newest() {
            return asks == null ? links.get(links.size() - 1) : asks;
        }

        private void says(String[] w) throws IOException {
            switch (w[0]) {
                case "OK", "ERROR", "REJECTED" -> frame(from.get(w[1]), answer(w));
                case "N" -> frame(newest(), "N" + String.join(" ", w).substring(1));
                case "frame" ->
                    frame(
                            newest(),
                            new String(
                                    ParserPlayer.bytes(String.join(" ", w).substring(6)),
                                    StandardCharsets.UTF_8));
                case "raw" ->
                    newest().getOutputStream()
                            .write(ParserPlayer.bytes(String.join(" ", w).substring(4)));
                case "end" -> newest().close();
                case "reset" -> {
                    newest().setSoLinger(true, 0);
                    newest().close();
                }
                default -> throw new IllegalArgumentException(w[0]);
            }
        }

        private static String answer(String[] w) {
            return "Y" + w[1] + " " + w[0] + " 7 -\n"
                    + (w.length > 2
                            ? new String(ParserPlayer.bytes(w[2]), StandardCharsets.UTF_8)
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
            for (Socket s : links) {
                s.close();
            }
            for (Socket s : filling) {
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
        for (int i = 0; i < PATIENCE_MS; i++) {
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
                socket.setSoTimeout(PATIENCE_MS);
            }
        }

        /** Connects as soon as the router listens, and says this at once. */
        void early(String line) {
            String[] w = line.split(" ", 2);
            while (socket == null) {
                try {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setSoTimeout(PATIENCE_MS);
                    line(w[0], w[1]);
                } catch (ConnectException e) {
                    Thread.onSpinWait(); // It does not listen yet.
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        void line(String what, String rest) throws Exception {
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
                                    ? end()
                                    : rest.equals("nothing") ? quiet() : answer());
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
        private String request(String[] w) {
            String segments = Arrays.stream(w[3].split(","))
                    .map(s -> "{\"segment\":" + s + ",\"boost\":" + 1.0 / w[3].split(",").length
                            + "}")
                    .collect(Collectors.joining(","));
            String body = "{\"segments\":[" + segments + "],\"text\":\"t" + w[0] + "\"}";
            return "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + w[0] + "\r\nX-Call-Class: "
                    + w[1]
                    + "\r\nX-Budget-Ms: " + w[2] + "\r\n"
                    + (w.length > 4 ? "Idempotency-Key: " + w[4] + "\r\n" : "")
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** Status, "close" and "again" where the head says so, and the body of a 200. */
        private String answer() throws IOException {
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
                    + (status.equals("200") ? " " + StandIn.brief(body) : "");
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
            }
        }

        private String end() throws IOException {
            try {
                return socket.getInputStream().read() < 0 ? "end" : "a byte";
            } catch (SocketException e) {
                return "reset";
            }
        }

        private String quiet() throws IOException {
            socket.setSoTimeout(QUIET_MS);
            try {
                return socket.getInputStream().read() < 0 ? "end" : "a byte";
            } catch (SocketTimeoutException e) {
                return "nothing";
            } finally {
                socket.setSoTimeout(PATIENCE_MS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        LOG.removeHandler(handler);
        release(List.of(gate, timers, reads));
        if (router != null) {
            router.stopNow();
        }
        if (process != null) {
            process.destroyForcibly();
        }
        discovery.close();
        other.close();
        for (StandIn s : standIns.values()) {
            s.close();
        }
        for (Client c : clients.values()) {
            c.close();
        }
    }
}
