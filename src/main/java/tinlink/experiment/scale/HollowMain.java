package tinlink.experiment.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import tinlink.config.RouterConfig;
import tinlink.maintenance.MaintenanceService;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The process of some hollow routers. Commands come as lines of JSON on standard input, each is
 * answered by one line; the process ends with its input, so none outlives the one that started it.
 */
public final class HollowMain {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Held here, or their levels are forgotten. */
    private static final List<Logger> LOGGERS =
            List.of(Logger.getLogger("tinlink"), Logger.getLogger("io.microraft"));

    private final Map<String, HollowRouter> routers = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> files = new LinkedHashMap<>();
    private List<MaintenanceService.ListedNode> nodes = List.of();
    private Map<String, String> voters = Map.of();

    private HollowMain() {}

    public static void main(String[] args) throws IOException {
        LOGGERS.forEach(l -> l.setLevel(Level.SEVERE));
        HollowMain process = new HollowMain();
        PrintStream answers = System.out;
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            answers.println(JSON.writeValueAsString(process.answer(JSON.readTree(line))));
            answers.flush();
        }
        System.exit(0);
    }

    private Object answer(JsonNode command) {
        try {
            return switch (command.path("do").asText()) {
                case "open" -> open(command);
                case "join" -> join(command);
                case "figures" -> figures(command.path("collect").asBoolean());
                case "taken" -> taken(command.path("epoch").asLong());
                case "propose" -> propose(command);
                case "stop" -> stop(command.path("router").asText());
                case "start" -> start(command.path("router").asText());
                default -> throw new IOException("no such command: " + command);
            };
        } catch (IOException | RuntimeException e) {
            return Map.of("error", String.valueOf(e), "cause", String.valueOf(e.getCause()));
        }
    }

    private Map<String, Object> open(JsonNode command) throws IOException {
        nodes = nodes(command.path("nodes"));
        for (Map.Entry<String, JsonNode> one : command.path("routers").properties()) {
            Map<String, String> env = new LinkedHashMap<>();
            one.getValue()
                    .properties()
                    .forEach(e -> env.put(e.getKey(), e.getValue().asText()));
            files.put(one.getKey(), env);
            routers.put(one.getKey(), new HollowRouter(new RouterConfig(env), nodes));
        }
        Map<String, Object> addresses = new LinkedHashMap<>();
        for (Map.Entry<String, HollowRouter> one : routers.entrySet()) {
            addresses.put(one.getKey(), text(one.getValue().address()));
        }
        return addresses;
    }

    private static String text(InetSocketAddress at) {
        return "127.0.0.1:" + at.getPort();
    }

    private static List<MaintenanceService.ListedNode> nodes(JsonNode told) {
        List<MaintenanceService.ListedNode> all = new ArrayList<>();
        for (JsonNode n : told) {
            all.add(new MaintenanceService.ListedNode(
                    n.path("id").asText(),
                    n.path("block").asInt(),
                    n.path("zone").asText(),
                    "m",
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), n.path("port").asInt())));
        }
        return List.copyOf(all);
    }

    private Map<String, Object> join(JsonNode command) {
        Map<String, String> at = new LinkedHashMap<>();
        command.path("voters")
                .properties()
                .forEach(e -> at.put(e.getKey(), e.getValue().asText()));
        voters = at;
        routers.values().forEach(r -> r.join(voters));
        return Map.of();
    }

    private Map<String, Object> propose(JsonNode command) throws IOException {
        router(command.path("router").asText())
                .propose(command.path("id").asText(), command.path("text").asText());
        return Map.of();
    }

    /** By router, since when lookups are taken by that epoch: microseconds of the shared clock. */
    private Map<String, Long> taken(long epoch) {
        Map<String, Long> all = new LinkedHashMap<>();
        routers.forEach((name, r) -> {
            Long at = r.tookAtUs(epoch);
            if (at != null) {
                all.put(name, at);
            }
        });
        return all;
    }

    private HollowRouter router(String name) throws IOException {
        HollowRouter r = routers.get(name);
        if (r == null) {
            throw new IOException("no such router: " + name);
        }
        return r;
    }

    private Map<String, Object> stop(String name) throws IOException {
        router(name).close();
        routers.remove(name);
        return Map.of();
    }

    /** Starts it again with its folder. */
    private Map<String, Object> start(String name) throws IOException {
        HollowRouter r = new HollowRouter(new RouterConfig(files.get(name)), nodes);
        routers.put(name, r);
        r.address();
        r.join(voters);
        return Map.of();
    }

    private Map<String, Object> figures(boolean collect) throws IOException {
        if (collect) {
            System.gc();
        }
        List<HollowState> states = new ArrayList<>();
        for (HollowRouter r : routers.values()) {
            states.add(r.state());
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("heap", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        all.put(
                "direct",
                ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                        .filter(p -> p.getName().equals("direct"))
                        .mapToLong(BufferPoolMXBean::getMemoryUsed)
                        .sum());
        all.put(
                "processCpuNs",
                ((com.sun.management.OperatingSystemMXBean)
                                ManagementFactory.getOperatingSystemMXBean())
                        .getProcessCpuTime());
        all.put("atNs", System.nanoTime());
        all.put("routers", states);
        return all;
    }
}
