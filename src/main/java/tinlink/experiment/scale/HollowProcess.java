package tinlink.experiment.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A process of hollow routers, from the side of the one that measures. Used by one thread at a time. */
final class HollowProcess implements AutoCloseable {
    /** Figures of one process at one moment. */
    static final class Figures {
        public long heap;
        public long direct;
        public long processCpuNs;
        public long atNs;
        public List<HollowState> routers;
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    /** The collector and compiler of deploy/balancer.toml. */
    private static final List<String> OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:-UsePerfData",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-Xss512k");
    /** Danger: an experiment that is interrupted would leave its processes behind. */
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    final List<String> names;
    private final Process process;
    private final Writer commands;
    private final BufferedReader answers;

    HollowProcess(List<String> names, int heapMb, Path log) throws IOException {
        this.names = List.copyOf(names);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.add("-Xmx" + heapMb + "m");
        command.add("-cp");
        command.add(classPath());
        command.add(HollowMain.class.getName());
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(log.toFile());
        builder.environment().keySet().removeIf(k -> k.startsWith("NODE_"));
        process = builder.start();
        RUNNING.add(process);
        var unused = process.onExit().thenAccept(RUNNING::remove);
        commands = process.outputWriter(StandardCharsets.UTF_8);
        answers = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** The built jar with its libraries, or the same classes where it has not been built. */
    private static String classPath() throws IOException {
        try {
            Path from = Path.of(HollowMain.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            if (from.toString().endsWith(".jar")) {
                return from + java.io.File.pathSeparator + from.resolveSibling("lib") + "/*";
            }
        } catch (java.net.URISyntaxException e) {
            throw new IOException(e);
        }
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Sends a command without waiting; its answer is read by {@link #answer}. */
    void send(Map<String, ?> command) throws IOException {
        commands.write(JSON.writeValueAsString(command));
        commands.write('\n');
        commands.flush();
    }

    JsonNode answer() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("the process of " + names.get(0) + " has ended");
        }
        JsonNode answer = JSON.readTree(line);
        if (answer.has("error")) {
            throw new IOException("the process of " + names.get(0) + ": " + answer);
        }
        return answer;
    }

    JsonNode ask(Map<String, ?> command) throws IOException {
        send(command);
        return answer();
    }

    /** @param collect whether the heap is collected first */
    void sendFigures(boolean collect) throws IOException {
        send(Map.of("do", "figures", "collect", collect));
    }

    Figures figures() throws IOException {
        return JSON.treeToValue(answer(), Figures.class);
    }

    static Map<String, Object> command(String what, String router) {
        Map<String, Object> command = new LinkedHashMap<>();
        command.put("do", what);
        command.put("router", router);
        return command;
    }

    boolean isUp() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
