package tinlink.experiment.scale;

import tinlink.experiment.processes.RouterProcess;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Figures of a router process, read from outside: processor time of its threads, and its heap. */
final class ControlReal {
    private static final long MOST_COLLECT_S = 20;

    private ControlReal() {}

    /** Of all its threads that are there now, nanoseconds since their start, as the kernel counts them. */
    static long cpuNs(RouterProcess child) throws IOException {
        long sum = 0;
        try (Stream<Path> tasks =
                Files.list(Path.of("/proc", Long.toString(child.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                sum += Long.parseLong(
                        Files.readString(task.resolve("schedstat")).split(" ", 0)[0]);
            }
        }
        return sum;
    }

    /** After a collection; the process is asked by the JDK's own tool. */
    static double heapMb(RouterProcess child) throws IOException, InterruptedException {
        tool(child, "GC.run");
        double usedKb = 0;
        for (String line : tool(child, "GC.heap_info")) {
            // "def new generation   total 19648K, used 2345K [..." and the same of the tenured one.
            if (line.contains("generation") && line.contains("used ")) {
                usedKb += Double.parseDouble(line.replaceAll(".*used (\\d+)K.*", "$1"));
            }
        }
        return usedKb / 1024;
    }

    private static List<String> tool(RouterProcess child, String command)
            throws IOException, InterruptedException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(child.pid()),
                        command)
                .redirectErrorStream(true)
                .start();
        List<String> said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        if (!p.waitFor(MOST_COLLECT_S, TimeUnit.SECONDS)) {
            p.destroyForcibly();
        }
        return said;
    }
}
