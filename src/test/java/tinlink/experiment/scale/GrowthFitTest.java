package tinlink.experiment.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Path;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/** Growth laws are told apart, and estimates beyond the sizes hold the true value. */
class GrowthFitTest {
    private static final double[] SIZES = {9, 28, 56, 112, 280};

    private static Measurement measured(DoubleUnaryOperator cost) {
        Measurement measurement = new Measurement(
                "router",
                "messages",
                "1/s",
                "routers",
                Measurement.Source.SIMULATED,
                "none",
                List.of());
        for (double size : SIZES) {
            for (int repeat = 0; repeat < 3; repeat++) {
                double noise = 1 + 0.01 * (repeat - 1);
                measurement = measurement.with(size, cost.applyAsDouble(size) * noise);
            }
        }
        return measurement;
    }

    @Test
    void eachLawIsRecognised() {
        assertEquals(GrowthFit.Law.CONSTANT, GrowthFit.of(measured(n -> 42)).law());
        assertEquals(
                GrowthFit.Law.LINEAR, GrowthFit.of(measured(n -> 5 + 3 * n)).law());
        assertEquals(
                GrowthFit.Law.LOG_LINEAR,
                GrowthFit.of(measured(n -> 2 * n * Math.log(n))).law());
        assertEquals(
                GrowthFit.Law.QUADRATIC,
                GrowthFit.of(measured(n -> 100 + 0.5 * n * n)).law());
    }

    @Test
    void anEstimateBeyondTheSizesHoldsTheTrueValue() {
        GrowthFit fit = GrowthFit.of(measured(n -> 100 + 0.5 * n * n));
        GrowthFit.Estimate estimate = fit.at(560);
        double truth = 100 + 0.5 * 560 * 560;
        assertTrue(
                Math.abs(estimate.value() - truth) <= estimate.margin() + 0.01 * truth,
                estimate.toString());
    }

    @Test
    void tooFewSizesAreRefused() {
        Measurement few = new Measurement(
                "router",
                "messages",
                "1/s",
                "routers",
                Measurement.Source.SIMULATED,
                "none",
                List.of());
        Measurement three = few.with(1, 1).with(2, 2).with(3, 3);
        assertThrows(IllegalArgumentException.class, () -> GrowthFit.of(three));
    }

    @Test
    void resultsAreReadAsTheyWereSaved(@TempDir Path folder) throws Exception {
        ResultFile results =
                new ResultFile("2026-12-02", 7, 8, List.of("short"), List.of(measured(n -> n)));
        results.save(folder.resolve("control.json"));
        assertEquals(List.of(results), ResultFile.loadAll(folder));
    }
}
