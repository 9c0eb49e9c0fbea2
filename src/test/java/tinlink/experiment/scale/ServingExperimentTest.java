package tinlink.experiment.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

/** The short form of the serving measurement, and that its checks and its readers of the JVM's words bite. */
@Timeout(120)
class ServingExperimentTest {
    private static ServingLoad.Result result(int asked, int whole) {
        Histogram none = new Histogram(3);
        return new ServingLoad.Result(asked, whole, asked - whole, none, none, none);
    }

    private static ServingVerdict verdict(int whole, long partCalls, long bytes, int connections) {
        ServingVerdict verdict = new ServingVerdict();
        verdict.load(
                10,
                result(100, whole),
                new ServingNodes.Counts(partCalls, partCalls, bytes, bytes, 0, connections),
                50);
        return verdict;
    }

    @Test
    void theShortFormKeepsItsCountsAndLeavesNoProcess(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("serving.json");
        assertTrue(new ServingExperiment(true, 1, List.of("a note")).run(file));
        ResultFile results = ResultFile.load(file);
        assertTrue(results.notes().contains("a note"));
        List<String> keys =
                results.measurements().stream().map(Measurement::key).collect(Collectors.toList());
        assertTrue(
                keys.containsAll(List.of(
                        "query-router.serving/start time/nodes on the list",
                        "query-router.serving/heap/open connections",
                        "query-router.serving/processor time a lookup, loop/parts a lookup",
                        "query-router.serving/allocation a part call/parts a lookup",
                        "query-router.serving/added latency p99/parts a lookup",
                        "discovery/bytes a list/nodes on the list",
                        "data-node/bytes a part call/parts a lookup")),
                keys.toString());
        assertEquals(0, ServingRouter.running());
    }

    @Test
    void eachCheckBites() {
        assertTrue(verdict(100, 1_000, 70_000, 50).kept());
        assertFalse(verdict(99, 1_000, 70_000, 50).kept(), "a lookup without its whole answer");
        assertFalse(verdict(100, 999, 70_000, 50).kept(), "a part that was not sent");
        assertFalse(verdict(100, 1_200, 70_000, 50).kept(), "too many repeats");
        assertFalse(verdict(100, 1_000, 170_000, 50).kept(), "too many bytes");
        assertFalse(verdict(100, 1_000, 70_000, 51).kept(), "two connections to a node");
        ServingVerdict heap = new ServingVerdict();
        heap.heap(100, ServingVerdict.MOST_HEAP_MB + 1);
        assertFalse(heap.kept());
        ServingVerdict connections = new ServingVerdict();
        connections.connections(100, 99);
        assertFalse(connections.kept());
    }

    @Test
    void threadsAreReadAsTheJvmPrintsThem() {
        ServingUsage usage = ServingUsage.of(
                """
                "main" #1 prio=5 os_prio=0 cpu=1500.25ms elapsed=9.10s allocated=120M tid=0x1
                "Thread-1" #12 daemon prio=5 os_prio=0 cpu=400.50ms elapsed=9.00s allocated=300K tid=0x2
                "VM Thread" os_prio=0 cpu=30.00ms elapsed=9.10s tid=0x3 nid=0x9 runnable
                "C1 CompilerThread0" #6 daemon cpu=200.00ms elapsed=9.10s allocated=12345B tid=0x4
                """,
                "rchar: 1000\nwchar: 2000\nsyscr: 30\nsyscw: 40\nread_bytes: 0\n",
                Duration.ofMillis(2200));
        assertEquals(
                new ServingUsage(
                        1500.25,
                        400.5,
                        30,
                        269.25,
                        (120L << 20) + (300L << 10) + 12345,
                        1000,
                        2000,
                        70),
                usage);
    }

    @Test
    void memoryIsReadAsTheJvmPrintsIt() {
        ServingMemory memory = ServingMemory.of(
                """
                 def new generation   total 19712K, used 1024K [0x1, 0x2, 0x3)
                 tenured generation   total 43712K, used 2048K [0x1, 0x2, 0x3)
                 Metaspace       used 9000K, committed 9100K
                """,
                "-                     Other (reserved=512KB, committed=256KB)\n",
                "Name:\tjava\nVmRSS:\t   65536 kB\n");
        assertEquals(new ServingMemory(3, 0.25, 64), memory);
    }
}
