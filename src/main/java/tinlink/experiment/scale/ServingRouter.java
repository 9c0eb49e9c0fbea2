package tinlink.experiment.scale;

import tinlink.experiment.processes.RouterProcess;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The router under test: a process of its own, started as an operator would start it, and asked
 * from outside what it uses and holds. It is known by its process id alone and ended with the one
 * that started it.
 */
final class ServingRouter implements AutoCloseable {
    /**
     * @param nodes on the list
     * @param cells among which the shards are dealt out; shard n is held by the nodes of cell n
     * @param sockets the most descriptors that the router may use
     * @param openCap the most lookups and parts in hand
     * @param onTimeMs the aim for an answer; a part that is silent for a third of it is sent again
     * @param tracksMemory the JVM keeps account of memory outside the heap, which costs it a little time
     */
    record Settings(
            int nodes, int cells, int sockets, int openCap, int onTimeMs, boolean tracksMemory) {
        private static final int LEAST_BUDGET_MS = 3_000;

        /** How long clients wait for an answer. */
        int budgetMs() {
            return Math.max(LEAST_BUDGET_MS, onTimeMs);
        }
    }

    /** The one index of lookups: all parts are needed, and running a part twice does no harm. */
    static final String INDEX = "find";

    private static final Pattern SERVES =
            Pattern.compile("event=serving router=[^ ]+ address=([0-9.]+):([0-9]+) ");
    /** Begins what the router logs of each object of discovery's. */
    private static final String LIST_TOLD = "event=endpoint_list_updated ";

    private static final long START_S = 30;
    private static final long STOP_S = 10;
    private static final long LOOK_MS = 5;
    private static final int MOST_LINES = 200;
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        // Danger: a measurement that is interrupted would leave its router behind.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    private final InetSocketAddress address;
    private final double startMs;
    private final List<String> lines = new ArrayList<>();
    private final AtomicLong listsTold = new AtomicLong();

    /**
     * Starts the router and waits until it serves.
     *
     * @param folder for its configuration
     */
    ServingRouter(Settings settings, InetSocketAddress discovery, Path folder)
            throws IOException, InterruptedException {
        Path config = Files.writeString(folder.resolve("router.json"), config(settings, discovery));
        ProcessBuilder builder = new ProcessBuilder(command(settings)).redirectErrorStream(true);
        builder.environment().keySet().removeIf(k -> k.startsWith("NODE_"));
        builder.environment().put("NODE_CONFIG", config.toString());
        long from = System.nanoTime();
        process = builder.start();
        RUNNING.add(process);
        var unused = process.onExit().thenAccept(RUNNING::remove);
        CompletableFuture<InetSocketAddress> serves = new CompletableFuture<>();
        Thread reader = new Thread(() -> readOutput(serves), "serving-router-output");
        reader.setDaemon(true);
        reader.start();
        address = await(serves);
        startMs = (System.nanoTime() - from) / 1e6;
    }

    private static String config(Settings s, InetSocketAddress discovery) {
        return """
                {"name": "serving", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:%d", "seed": "1",
                 "limits": {"sockets": %d, "memory_mb": 192},
                 "settings": {"family": "fanout", "discovery": "pushed", "groupSize": 1,
                  "zone": 0, "stepMs": 5.0,
                  "localities": ["z0", "z1", "z2", "z3", "z4", "z5", "z6"], "models": ["m"],
                  "familyInfo": {"sets": %d, "reach": 1, "slabs": %d, "bundleMax": 4, "callMs": 1.0,
                   "completeFrom": [1.0], "minShare": [1.0], "incompleteWorth": [0], "followUp": [0]},
                  "profiles": [{"name": "%s", "effect": "pure", "onTimeMs": %d,
                   "deadlineMs": %d, "worth": 1.0}],
                  "limits": {"tryLimit": 3, "secondCopies": true, "cancel": true, "retryAfter": true,
                   "maxRetryAfterMs": 2000.0, "openCap": %d, "connectTimeoutMs": 5000.0,
                   "connIdleMs": 120000.0, "streamsPerConn": 100},
                  "rules": {"startCapacity": 0.2, "coldMs": 10000.0, "fallMultiple": 4.0, "fallMs": 3000.0},
                  "charges": {"crossZone": 0.02}}}
                """.formatted(
                        discovery.getPort(),
                        s.sockets,
                        s.cells,
                        s.cells,
                        INDEX,
                        s.onTimeMs,
                        s.budgetMs(),
                        s.openCap);
    }

    /** The command of an operator: the built jar, or the same classes where it has not been built. */
    private static List<String> command(Settings settings) {
        List<String> all = new ArrayList<>();
        all.add(tool("java"));
        all.addAll(RouterProcess.BOUNDS);
        if (settings.tracksMemory) {
            all.add("-XX:NativeMemoryTracking=summary");
        }
        try {
            Path from = Path.of(ServingRouter.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path archive = from.resolveSibling("tinlink.jsa");
            if (Files.isRegularFile(from)) {
                if (Files.isRegularFile(archive)) {
                    all.add("-XX:SharedArchiveFile=" + archive);
                }
                all.addAll(List.of("-jar", from.toString()));
            } else {
                String path = System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
                all.addAll(List.of("-cp", path, RouterProcess.MAIN_CLASS));
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
        all.add("serve");
        return all;
    }

    private static String tool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    private void readOutput(CompletableFuture<InetSocketAddress> serves) {
        try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Matcher m = SERVES.matcher(line);
                if (m.find()) {
                    serves.complete(
                            new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2))));
                }
                if (line.contains(LIST_TOLD)) {
                    listsTold.incrementAndGet();
                }
                remember(line);
            }
            serves.completeExceptionally(new IOException("the router ended: " + said()));
        } catch (IOException e) {
            serves.completeExceptionally(e);
        }
    }

    private synchronized void remember(String line) {
        if (lines.size() < MOST_LINES) {
            lines.add(line);
        }
    }

    /** The first lines of what it has logged. */
    synchronized String said() {
        return String.join("\n", lines);
    }

    private InetSocketAddress await(CompletableFuture<InetSocketAddress> serves)
            throws IOException, InterruptedException {
        try {
            return serves.get(START_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            close();
            throw new IOException(
                    "the router did not serve within " + START_S + " s: " + said(), e);
        }
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return address;
    }

    /** From the start of the process to its readiness for clients, milliseconds. */
    double startMs() {
        return startMs;
    }

    ServingUsage usage() throws IOException, InterruptedException {
        String threads = jcmd("Thread.print", "-e");
        Duration whole = process.toHandle().info().totalCpuDuration().orElseThrow();
        return ServingUsage.of(threads, proc("io"), whole);
    }

    /** Of a router that tracks its memory; runs a full collection first. */
    ServingMemory memory() throws IOException, InterruptedException {
        String said = jcmd("GC.run\nGC.heap_info\nVM.native_memory summary");
        return ServingMemory.of(said, said, proc("status"));
    }

    /** How many objects of discovery the router has taken. */
    long listsTold() {
        return listsTold.get();
    }

    /** Waits until it has taken so many, for a bounded time. */
    void awaitListsTold(long wanted, long mostMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
        while (listsTold() < wanted) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited " + mostMs + " ms for " + wanted
                        + " changes of the list: " + said());
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private String proc(String file) throws IOException {
        return Files.readString(Path.of("/proc", Long.toString(process.pid()), file));
    }

    private String jcmd(String... words) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(tool("jcmd"), Long.toString(process.pid())));
        command.addAll(List.of(words));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        try (BufferedReader in = new BufferedReader(
                new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8))) {
            String text = String.join("\n", in.lines().toList());
            if (p.waitFor() != 0) {
                throw new IOException(String.join(" ", command) + ": " + text);
            }
            return text;
        }
    }

    /** How many routers that were started here still run. */
    static int running() {
        return (int) RUNNING.stream().filter(Process::isAlive).count();
    }

    /** Stops it in order, or kills it after a while. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(STOP_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
