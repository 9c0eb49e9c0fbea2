import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, routers as processes, clients, operators. */
final class Kit {
    static final String TOKEN = "for-the-review-on-loopback";
    static final Path ROOT = Path.of("").toAbsolutePath();
    /** With TROUBLE=0 a case does the same without its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long BEGAN = System.nanoTime();
    private static final List<Process> PROCESSES = Collections.synchronizedList(new ArrayList<>());
    private static PrintWriter record;
    static Path folder;

    private Kit() {}

    interface Task {
        void run() throws Exception;
    }

    interface Condition {
        boolean isMet() throws Exception;
    }

    /** Ends a case as one that could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    static long nowMs() {
        return (System.nanoTime() - BEGAN) / 1_000_000;
    }

    static synchronized void record(String line) {
        String text = String.format(Locale.ROOT, "%7.3f %s", nowMs() / 1000.0, line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // A connection or a stand-in has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs a case. @param body returns what broke the rule; empty if it held */
    static void run(Path recordFile, java.util.concurrent.Callable<String> body) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("tinlink-review");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        Thread watchdog = thread(() -> {
            Thread.sleep(115_000);
            record("could not run: it takes longer than 115 s");
            endAll();
            Runtime.getRuntime().halt(2);
        });
        int status;
        try {
            record(TROUBLE ? "with the disruption" : "without the disruption");
            String broken = body.call();
            record(broken.isEmpty() ? "HELD" : "BROKEN: " + broken);
            status = broken.isEmpty() ? 0 : 1;
        } catch (Throwable e) {
            record("could not run: " + e);
            status = 2;
        }
        watchdog.interrupt();
        endAll();
        if (status != 2) {
            deleteFolder();
        }
        System.exit(status);
    }

    private static void endAll() {
        for (Process process : List.copyOf(PROCESSES)) {
            process.destroyForcibly();
        }
        for (Process process : List.copyOf(PROCESSES)) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void deleteFolder() throws IOException {
        try (var all = Files.walk(folder)) {
            for (Path path : all.sorted(Collections.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    static void await(long mostMs, String what, Condition condition) throws Exception {
        long end = nowMs() + mostMs;
        while (!condition.isMet()) {
            if (nowMs() > end) {
                throw new CannotRun("waited " + mostMs + " ms for: " + what);
            }
            Thread.sleep(20);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- Routers. ----

    /** One router, started with the command of the deploy file. */
    static final class Router {
        final String name;
        final Path own;
        final Map<String, String> env = new TreeMap<>();
        Process process;
        private int starts;
        private Path log;

        Router(String name, Discovery discovery, String settings) throws IOException {
            this(name, discovery, settings, 1024);
        }

        Router(String name, Discovery discovery, String settings, int sockets) throws IOException {
            this.name = name;
            own = Files.createDirectories(folder.resolve(name));
            env.put("NODE_CONFIG", write("config.json", "{\"name\":\"" + name
                    + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address()
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":" + sockets + "},\"known\":" + discovery.wholeList()
                    + ",\"settings\":" + settings
                    + "}"));
            env.put("NODE_LOG", "FINE");
        }

        String write(String file, String text) throws IOException {
            return Files.writeString(own.resolve(file), text).toString();
        }

        /** The cluster and maintenance. @param links where this router reaches each other one */
        void cluster(
                String zone, int port, String at, Map<String, String> links, List<String> voters,
                boolean policy, int controlPort)
                throws IOException {
            StringBuilder peers = new StringBuilder();
            links.forEach((other, address) -> peers.append(other + ": '" + address + "', "));
            env.put("NODE_PEERS", write("peers.json5", "{cluster: 'main', zone: '" + zone
                    + "', listen: '127.0.0.1:" + port + "', at: '" + at + "', folder: '"
                    + own.resolve("disk") + "', peers: {" + peers + "}, voters: ['"
                    + String.join("', '", voters) + "'], " + KEYS + "}"));
            env.put("NODE_WORK", write("work.json5", "{sites: {north: ['z1', 'z2', 'z3']}, "
                    + "bounds: {holders: 1, "
                    + "zone_share: 0.5, site_share: 0.5, warm_ms: 10000, begin_ms: 30000}, "
                    + "policy: " + policy + ", control: {listen: '127.0.0.1:" + controlPort
                    + "', token: '" + TOKEN + "', answer_ms: 5000}}"));
            control = controlPort;
        }

        static final String KEYS =
                "keys: {k1: '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'}, "
                        + "use_key: 'k1'";

        int control;

        void start() throws IOException {
            log = own.resolve("log-" + ++starts);
            String deploy = Files.readString(ROOT.resolve("deploy/balancer.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new CannotRun("the deploy file has no run");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                    .directory(ROOT.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
            builder.environment().putAll(env);
            process = builder.start();
            PROCESSES.add(process);
            record(name + " starts");
        }

        String logText() throws IOException {
            return Files.readString(log);
        }

        /** Where its clients connect; 0 before it serves. */
        int port() throws IOException {
            Matcher serving = Pattern.compile("event=serving router=[^ ]+ address=127.0.0.1:([0-9]+) ")
                    .matcher(logText());
            return serving.find() ? Integer.parseInt(serving.group(1)) : 0;
        }

        void awaitServing() throws Exception {
            await(30_000, name + " serves", () -> {
                if (!process.isAlive()) {
                    throw new CannotRun(name + " has ended: " + logText());
                }
                return port() > 0 && send(port(), "GET /-/ready HTTP/1.1\r\nHost: a\r\n"
                        + "Connection: close\r\n\r\n", 2000).status > 0;
            });
            record(name + " serves");
        }

        void awaitReady() throws Exception {
            await(30_000, name + " is ready", () -> isReady());
            record(name + " is ready");
        }

        boolean isReady() throws IOException {
            int port = port();
            return port > 0
                    && send(port, "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 2000)
                                    .status
                            == 200;
        }

        void signal(String which) throws Exception {
            record(name + " gets SIG" + which);
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
        }

        /** An operator's request at its control address. */
        String operator(String json) throws IOException {
            byte[] body = json.getBytes(StandardCharsets.UTF_8);
            return send(control, "POST /work HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + TOKEN
                            + "\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n" + json,
                    6000)
                    .body;
        }

        /** The state of a machine in a request, as this router knows it. */
        String state(String request, String machine) throws IOException {
            String text = operator("{\"do\":\"show\",\"id\":\"" + request + "\"}");
            for (String object : text.split("\\{")) {
                if (object.contains("\"machine\":\"" + machine + "\"")) {
                    Matcher state = Pattern.compile("\"state\":\"([^\"]*)\"").matcher(object);
                    return state.find() ? state.group(1) : "";
                }
            }
            return "";
        }

        /** Waits until it knows a leader and its own start is agreed on. */
        void awaitAgreed() throws Exception {
            await(30_000, name + " is known to the cluster", () -> {
                String text = operator("{\"do\":\"router\"}");
                return text.contains("\"known\":true") && !text.contains("\"leader\":\"\"");
            });
        }

        Response lookup(String id, String lookupClass, long budgetMs, String key, String text, int... shards)
                throws IOException {
            StringBuilder parts = new StringBuilder();
            for (int shard : shards) {
                parts.append(parts.length() == 0 ? "" : ",")
                        .append("{\"segment\":" + shard + ",\"boost\":" + 1.0 / shards.length + "}");
            }
            String body = "{\"segments\":[" + parts + "],\"text\":\"" + text + "\"}";
            long sentMs = nowMs();
            record("client: lookup " + id + " (" + lookupClass + ") to " + name);
            Response response = send(port(), "POST /api HTTP/1.1\r\nHost: api\r\nX-Call-Id: " + id
                    + "\r\nX-Call-Class: " + lookupClass + "\r\nX-Budget-Ms: " + budgetMs
                    + (key == null ? "" : "\r\nIdempotency-Key: " + key)
                    + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                    budgetMs + 2000);
            response.tookMs = nowMs() - sentMs;
            record("client: lookup " + id + " ends with " + response.status + " after " + response.tookMs
                    + " ms: "
                    + (response.body.length() > 120
                            ? response.body.substring(0, 120) + "..."
                            : response.body.trim()));
            return response;
        }
    }

    /** Settings of a small deployment: cells hold one shard each. */
    static String settings(int routers, int cells, long softMs, long hardMs, long windowMs) {
        return "{\"family\":\"fanout\",\"discovery\":\"pushed\",\"groupSize\":" + routers
                + ",\"zone\":0,\"stepMs\":5.0,\"localities\":[\"z1\",\"z2\",\"z3\"],\"models\":[\"m\"],"
                + "\"familyInfo\":{\"sets\":" + cells + ",\"slabs\":" + cells
                + ",\"reach\":1,\"bundleMax\":4,\"callMs\":1.0,\"completeFrom\":[1,1,1],"
                + "\"minShare\":[1,1,1],\"incompleteWorth\":[0,0,0],\"followUp\":[0,0,0]},\"profiles\":["
                + profile("find", "pure", softMs, hardMs, 0) + ","
                + profile("pay", "token", softMs, hardMs, windowMs) + ","
                + profile("once", "side_effect", softMs, hardMs, 0)
                + "],\"limits\":{\"tryLimit\":3,\"secondCopies\":true,\"cancel\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":2000.0,\"openCap\":2000,\"connectTimeoutMs\":250.0,"
                + "\"connIdleMs\":30000.0,\"streamsPerConn\":100},"
                + "\"rules\":{\"startCapacity\":0.2,\"coldMs\":10000.0,\"fallMultiple\":4.0,"
                + "\"fallMs\":3000.0},"
                + "\"charges\":{\"crossZone\":0.02}}";
    }

    private static String profile(String name, String effect, long softMs, long hardMs, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"onTimeMs\":" + softMs
                + ",\"deadlineMs\":" + hardMs + ",\"windowMs\":" + windowMs
                + ",\"worth\":1.0,\"lateWorth\":0.3}";
    }

    // ---- HTTP. ----

    static final class Response {
        /** 0 without an answer. */
        int status;
        String body = "";
        long tookMs;
    }

    /** Sends one request on a connection of its own and reads the answer to its end. */
    static Response send(int port, String request, long mostMs) throws IOException {
        Response response = new Response();
        long end = nowMs() + mostMs;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            byte[] bytes = new byte[1 << 14];
            while (true) {
                socket.setSoTimeout((int) Math.max(1, end - nowMs()));
                int n = in.read(bytes);
                if (n < 0) {
                    break;
                }
                all.write(bytes, 0, n);
                if (isWhole(all.toString(StandardCharsets.ISO_8859_1))) {
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            response.body = "no answer";
            return response;
        } catch (IOException e) {
            response.body = "connection: " + e.getMessage();
        }
        String text = all.toString(StandardCharsets.UTF_8);
        Matcher status = Pattern.compile("^HTTP/1.1 ([0-9]{3})").matcher(text);
        if (status.find()) {
            response.status = Integer.parseInt(status.group(1));
            int bodyAt = text.indexOf("\r\n\r\n");
            response.body = bodyAt < 0 ? "" : text.substring(bodyAt + 4);
        }
        return response;
    }

    private static boolean isWhole(String text) {
        int bodyAt = text.indexOf("\r\n\r\n");
        Matcher length = Pattern.compile("(?i)content-length: ([0-9]+)").matcher(text);
        return bodyAt >= 0
                && length.find()
                && text.length() >= bodyAt + 4 + Integer.parseInt(length.group(1));
    }
}
