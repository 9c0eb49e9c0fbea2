package tinlink.experiment.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The capacity page says what the saved results say, and marks what they don't show. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path RESULTS = Path.of("docs/measured/scale");

    private static Measurement measured(
            String role, String cost, String dimension, Measurement.Source source) {
        return new Measurement(role, cost, "MB", dimension, source, "make lab-scale", List.of());
    }

    /** A cost of so much a router, at sizes up to 28 of them. */
    private static Measurement heapByRouters(double each) {
        Measurement heap =
                measured("query-router.control", "heap", "routers", Measurement.Source.SIMULATED);
        for (int routers : new int[] {3, 9, 18, 28}) {
            heap = heap.with(routers, each * routers).with(routers, 1.01 * each * routers);
        }
        return heap;
    }

    private static CapacityTables tables(Measurement... measurements) {
        return new CapacityTables(List.of(
                new ResultFile("2026-12-02", 1, 8, List.of("a note"), List.of(measurements))));
    }

    private static String line(String table, String... words) {
        return table.lines()
                .filter(l -> List.of(words).stream().allMatch(l::contains))
                .findFirst()
                .orElseThrow(() -> new AssertionError(List.of(words) + " not in " + table));
    }

    @Test
    void thePageIsAsTheResultsHaveIt() throws IOException {
        String page = Files.readString(PAGE);
        assertEquals(
                CapacityPage.rendered(page, ResultFile.loadAll(RESULTS)),
                page,
                "run `make capacity`: docs/CAPACITY.md and docs/measured/scale disagree");
    }

    @Test
    void aChangedResultChangesThePage() throws IOException {
        String page = Files.readString(PAGE);
        String other = CapacityPage.rendered(
                page,
                List.of(new ResultFile(
                        "2026-12-02", 1, 8, List.of(), List.of(heapByRouters(0.1)))));
        assertNotEquals(page, other);
        assertThrows(IOException.class, () -> CapacityPage.rendered("no markers", List.of()));
    }

    @Test
    void whatIsBeyondTheSizesOrSimulatedIsMarked() {
        String row = line(tables(heapByRouters(0.1)).roles(), "Query router, control side", "heap");
        assertTrue(row.contains("**simulated**, **extrapolated**, 560 routers from 28"), row);
        assertTrue(row.contains("| n (R²"), row);
        assertTrue(row.contains("`make lab-scale`"), row);
    }

    @Test
    void whatIsOverBudgetIsRankedWithTheSizeAtWhichItBreaks() {
        CapacityTables tables = tables(heapByRouters(0.1));
        String row = line(tables.roles(), "Query router, control side", "heap");
        assertTrue(row.contains("32 MB (users)"), row);
        assertTrue(row.matches(".*\\| \\*\\*17[0-9]%\\*\\* \\| 31[0-9] routers \\|.*"), row);
        assertTrue(tables.ranking().startsWith("1. Over budget, 1.7"), tables.ranking());
        CapacityTables within = tables(heapByRouters(0.01));
        assertFalse(within.ranking().contains("Over budget"), within.ranking());
    }

    @Test
    void whatIsNotMeasuredIsSaidSo() {
        CapacityTables tables = tables(heapByRouters(0.1));
        assertTrue(line(tables.roles(), "Voter", "heap").contains("| not measured |"));
        assertTrue(
                line(tables.ranking(), "Not measured: Leader").contains("processor time; heap"),
                tables.ranking());
    }

    @Test
    void measurementsThatNoRowAsksForAndFewSizesAreShown() {
        Measurement two = measured(
                        "leader", "size of the log", "changes", Measurement.Source.MEASURED)
                .with(10, 3)
                .with(20, 5);
        String row = line(tables(two).all(), "size of the log");
        assertTrue(row.contains("| 10, 20 | 5 MB | not fitted |"), row);
        Measurement few = measured("voter", "heap", "routers", Measurement.Source.MEASURED)
                .with(9, 3)
                .with(28, 5);
        String voter = line(tables(few).roles(), "Voter", "heap");
        assertTrue(voter.contains("**at the largest size measured**, 28 routers"), voter);
    }

    @Test
    void atThePlannedSizeTheMeanOfRepeatsStandsInPlaceOfTheFit() {
        Measurement exact = heapByRouters(0.01).with(560, 20).with(560, 22);
        CapacityEstimate estimate = CapacityEstimate.of(exact);
        assertEquals(CapacityEstimate.Basis.MEASURED, estimate.basis());
        assertEquals(21, estimate.value());
        assertEquals(1, estimate.margin());
    }
}
