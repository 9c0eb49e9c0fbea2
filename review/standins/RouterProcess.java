import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router as the platform starts it: "run" of the deploy file, through /bin/sh -c, from the root. */
final class RouterProcess {
    static final String TOKEN = "a-token-of-the-review";
    static final String KEYS = "keys: {k1: '00112233445566778899aabbccddeeff'}, use_key: 'k1'";
    private static int nextPort = 20_000 + new Random().nextInt(12_000);
    private static final List<RouterProcess> ALL = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(RouterProcess::destroy)));
    }

    final String name;
    final Path folder;
    final Map<String, String> env = new LinkedHashMap<>();
    final String listen = freeAddress();
    final String peers = freeAddress();
    final String control = freeAddress();
    final String gateway = freeAddress();
    final Discovery discovery = new Discovery();
    private final Path root;
    private final Record record;
    private Process process;
    private int starts;

    RouterProcess(String name, Path temporary, Path root, Record record) throws IOException {
        this.name = name;
        this.root = root;
        this.record = record;
        folder = Files.createDirectories(temporary.resolve(name));
        ALL.add(this);
    }

    /** A free port below those that the kernel gives to connections, no two alike. */
    static synchronized String freeAddress() throws IOException {
        for (int i = 0; i < 1000; i++) {
            nextPort = nextPort >= 32_000 ? 20_000 : nextPort + 1;
            try (ServerSocket socket =
                    new ServerSocket(nextPort, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (IOException e) {
                // Another program has it.
            }
        }
        throw new IOException("no port is free");
    }

    /** Writes a file of this router and names it by an environment variable. */
    void file(String variable, String name, String text) throws IOException {
        env.put(variable, Files.writeString(folder.resolve(name), text).toString());
    }

    private static String command(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run");
        }
        return run.group(1);
    }

    void start() throws IOException {
        Path log = folder.resolve("log-" + ++starts + ".txt");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("NODE_"));
        builder.environment().putAll(env);
        process = builder.start();
        record.line("router " + name + " started, pid " + process.pid());
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** What it has logged since its last start. */
    String log() throws IOException {
        return Files.readString(folder.resolve("log-" + starts + ".txt"), StandardCharsets.UTF_8);
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        record.line("router " + name + " gets SIGKILL");
        process.destroyForcibly().waitFor();
    }

    /** SIGTERM; waits until it has ended. */
    boolean stop(long mostMs) throws InterruptedException {
        record.line("router " + name + " gets SIGTERM");
        process.destroy();
        boolean ended = process.waitFor(mostMs, TimeUnit.MILLISECONDS);
        record.line("router " + name
                + (ended ? " has ended with " + process.exitValue() : " still runs"));
        return ended;
    }

    private void destroy() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Its end, if it still runs, belongs to the case's end. */
    void end() throws InterruptedException {
        destroy();
        if (process != null) {
            process.waitFor();
        }
    }

    /** The status of GET /-/ready; 0 where nobody answers. */
    int ready() {
        try {
            HttpURLConnection http = (HttpURLConnection)
                    URI.create("http://" + listen + "/-/ready").toURL().openConnection();
            http.setConnectTimeout(500);
            http.setReadTimeout(500);
            http.setRequestProperty("Connection", "close");
            return http.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    boolean awaitReady(long mostMs) throws InterruptedException {
        long end = System.currentTimeMillis() + mostMs;
        while (System.currentTimeMillis() < end) {
            if (ready() == 200) {
                record.line("router " + name + " is ready");
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** One request at the control socket, as the operators' command sends it; empty where nobody answers. */
    String control(String json) {
        try {
            HttpURLConnection http = (HttpURLConnection)
                    URI.create("http://" + control + "/work").toURL().openConnection();
            http.setConnectTimeout(1000);
            http.setReadTimeout(8000);
            http.setRequestMethod("POST");
            http.setRequestProperty("Authorization", "Bearer " + TOKEN);
            http.setDoOutput(true);
            http.getOutputStream().write(json.getBytes(StandardCharsets.UTF_8));
            int status = http.getResponseCode();
            try (var in = status < 400 ? http.getInputStream() : http.getErrorStream()) {
                return status + " "
                        + (in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return "";
        }
    }

    /** The leader that this router knows; empty for none. */
    String leader() {
        Matcher leader = Pattern.compile("\"leader\":\"([a-z0-9]*)\"")
                .matcher(control("{\"do\":\"router\"}"));
        return leader.find() ? leader.group(1) : "";
    }

    /** The state of a machine's maintenance as this router tells an operator; empty where it is not known. */
    String stateOf(String request, String machine) {
        Matcher state = Pattern.compile("\"machine\":\"" + machine + "\",\"state\":\"([a-z ]+)\"")
                .matcher(control("{\"do\":\"show\",\"id\":\"" + request + "\"}"));
        return state.find() ? state.group(1) : "";
    }

    /** Asks for ten minutes of maintenance of a machine, as an operator does. */
    void askFor(String request, String machine) {
        String json =
                "{\"do\":\"ask\",\"id\":\"" + request + "\",\"machines\":[\"" + machine + "\"],"
                        + "\"for_ms\":600000,\"urgency\":5,\"author\":\"review\",\"why\":\"work\"}";
        record.line("operator asks for " + machine + ": " + control(json));
    }

    /** Waits for such a state. @return whether it came in time */
    boolean awaitState(String request, String machine, String wanted, long mostMs)
            throws InterruptedException {
        long end = System.currentTimeMillis() + mostMs;
        String last = "";
        while (System.currentTimeMillis() < end) {
            String now = stateOf(request, machine);
            if (!now.equals(last)) {
                record.line("operator asks " + name + ": " + machine + " is \"" + now + "\"");
                last = now;
            }
            if (now.equals(wanted)) {
                return true;
            }
            Thread.sleep(50);
        }
        record.line("operator was last told: "
                + control("{\"do\":\"show\",\"id\":\"" + request + "\"}"));
        return false;
    }
}
