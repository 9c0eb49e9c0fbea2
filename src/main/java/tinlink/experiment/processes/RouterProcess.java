package tinlink.experiment.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One router as a process of its own, started as an operator would start it. It is known by its own
 * id alone: whatever is done to it is done to that id, and it is ended with the one that started
 * it.
 */
public final class RouterProcess {
    /** As in deploy/balancer.toml; a test holds the two together. */
    public static final List<String> BOUNDS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:-UsePerfData",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m");

    /**
     * The program's entry, by name: a process is started with it, this one never loads it. A test
     * holds the two together.
     */
    public static final String MAIN_CLASS = "tinlink.Main";

    private static final Pattern SERVES =
            Pattern.compile("event=serving router=[^ ]+ address=([0-9.]+:[0-9]+) ");
    private static final Pattern LISTENS = Pattern.compile(
            "event=maintenance_listening cluster=([0-9.]+:[0-9]+) control=([0-9.:-]+)");
    /** All that were started by this process and may still run; each leaves with its end. */
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        // Danger: an experiment that is interrupted would leave its routers behind, at work for
        // nobody.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    public final String name;
    public final Path folder;
    private final Map<String, String> env;
    private Process process;
    private Path log;
    private int starts;
    private volatile boolean paused;
    private volatile InetSocketAddress clientAddress;
    private volatile InetSocketAddress peerAddress;
    private volatile InetSocketAddress controlAddress;

    /** @param folder of its own: its disk is below, its logs are in it */
    public RouterProcess(String name, Path folder, Map<String, String> env) {
        this.name = name;
        this.folder = folder;
        this.env = new LinkedHashMap<>(env);
    }

    /** Where its state is kept, for copies of it. */
    public Path disk() {
        return folder.resolve("disk");
    }

    /**
     * The command of an operator: the built jar, or the same classes where it has not been built.
     */
    private static List<String> command() {
        List<String> all = new ArrayList<>();
        all.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        all.addAll(BOUNDS);
        try {
            Path from = Path.of(RouterProcess.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            if (Files.isRegularFile(from)) {
                all.addAll(List.of("-jar", from.toString()));
            } else {
                String path = System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
                all.addAll(List.of("-cp", path, MAIN_CLASS));
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
        all.add("serve");
        return all;
    }

    /** Starts it; what it listens at is known by {@link #awaitServing}. */
    @SuppressWarnings("FutureReturnValueIgnored") // The process itself is what is waited for.
    public void start() throws IOException {
        if (isUp()) {
            throw new IllegalStateException(name + " runs already");
        }
        Files.createDirectories(folder);
        clientAddress = null;
        peerAddress = null;
        controlAddress = null;
        paused = false;
        log = folder.resolve(name + "-" + ++starts + ".log");
        ProcessBuilder b = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        b.environment().keySet().removeIf(k -> k.startsWith("NODE_"));
        b.environment().putAll(env);
        process = b.start();
        RUNNING.add(process);
        process.onExit().thenAccept(RUNNING::remove);
    }

    public boolean isUp() {
        return process != null && process.isAlive();
    }

    public boolean isPaused() {
        return paused;
    }

    public long pid() {
        return process.pid();
    }

    /**
     * Reads what it has said of itself so far. @return whether its peers and operators can reach it
     */
    boolean readLog() throws IOException {
        if (log == null || (clientAddress != null && controlAddress != null)) {
            return controlAddress != null;
        }
        for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
            Matcher s = SERVES.matcher(line);
            if (s.find()) {
                clientAddress = address(s.group(1));
            }
            Matcher l = LISTENS.matcher(line);
            if (l.find()) {
                peerAddress = address(l.group(1));
                controlAddress = l.group(2).equals("-") ? null : address(l.group(2));
            }
        }
        return controlAddress != null;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Where clients connect; null before it serves. */
    public InetSocketAddress clientAddress() {
        return clientAddress;
    }

    /** Where other routers connect; null before it listens. */
    public InetSocketAddress peerAddress() {
        return peerAddress;
    }

    /** Where operators connect; null before it listens. */
    public InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Waits until it listens to its peers, or has ended. */
    public void awaitListening(long mostMs) throws IOException, InterruptedException {
        await(mostMs, "its links", () -> readLog() || !isUp());
    }

    public void awaitServing(long mostMs) throws IOException, InterruptedException {
        await(mostMs, "it serves", () -> {
            readLog();
            return clientAddress != null || !isUp();
        });
    }

    /**
     * Waits by looking, for a bounded time. @throws IllegalStateException naming what it waited for
     */
    private void await(long mostMs, String what, Condition looks)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + 1_000_000 * mostMs;
        while (!looks.isMet()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(
                        name + ": waited " + mostMs + " ms for: " + what + "\n" + output());
            }
            Thread.sleep(20);
        }
    }

    private interface Condition {
        boolean isMet() throws IOException;
    }

    /** What it has said since it was started last. */
    public String output() throws IOException {
        return log == null ? "" : Files.readString(log);
    }

    // ---- What is done to it. ----

    /** As SIGKILL; returns when it is gone. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor();
            paused = false;
        }
    }

    /** As SIGTERM. @return its exit status; -1 where it had to be killed after that time */
    public int stop(long mostMs) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(mostMs, TimeUnit.MILLISECONDS)) {
            kill();
            return -1;
        }
        return process.exitValue();
    }

    public void pause() throws IOException, InterruptedException {
        if (isUp()) {
            paused = true;
            signal("STOP");
        }
    }

    public void resume() throws IOException, InterruptedException {
        if (isUp() && paused) {
            signal("CONT");
            paused = false;
        }
    }

    private void signal(String which) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        if (status != 0 && isUp()) {
            throw new IOException("kill -" + which + " of " + name + " ended with " + status);
        }
    }

    /** Its disk as it is now, beside; taken while it runs, as a careless backup would be. */
    public Path copyDisk() throws IOException {
        Path to = folder.resolve("copy-" + starts + "-" + System.nanoTime());
        copy(disk(), to);
        return to;
    }

    /** Its disk becomes that one, or none; it must not run. */
    public void disk(Path from) throws IOException {
        if (isUp()) {
            throw new IllegalStateException(name + " runs");
        }
        if (Files.exists(disk())) {
            Files.move(disk(), folder.resolve("was-" + System.nanoTime()));
        }
        if (from != null) {
            copy(from, disk());
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.toList()) {
                Path at = to.resolve(from.relativize(p).toString());
                if (Files.isDirectory(p)) {
                    Files.createDirectories(at);
                } else {
                    Files.copy(p, at);
                }
            }
        }
    }

    /** How many that were started here still run. */
    public static int running() {
        return (int) RUNNING.stream().filter(Process::isAlive).count();
    }
}
