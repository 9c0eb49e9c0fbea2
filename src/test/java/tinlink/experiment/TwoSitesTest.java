package tinlink.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import tinlink.Scenarios;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Two whole sites, real routers between emulated servers: what the gateway promises, with its
 * failures caused.
 */
class TwoSitesTest {
    private static final Logger LOG = Logger.getLogger("tinlink");

    @BeforeAll
    static void quiet() {
        LOG.setLevel(Level.SEVERE);
    }

    static List<Arguments> sites() throws IOException {
        return Scenarios.sections(".sites");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    @Timeout(60)
    void sites(String title, List<String> script) throws Exception {
        try (TwoSitesPlayer p = new TwoSitesPlayer()) {
            p.play(script);
        }
    }

    /**
     * A line that is cut after so many bytes, there or back: before a part's message, in it, after
     * it, in its answer.
     */
    @ParameterizedTest(name = "{0}, {1}")
    @CsvSource({"once, there", "once, back", "pay, there", "pay, back", "sum, there", "sum, back"})
    @Timeout(120)
    void cutAtEachByte(String kind, String way) throws Exception {
        try (TwoSitesPlayer p = new TwoSitesPlayer()) {
            p.line("start".split(" "));
            for (int at = 0; at < 260; at += 26) {
                p.line("joined".split(" "));
                p.line(("line e1>.* after " + way + " " + at).split(" "));
                p.line(("ask q" + at + " " + kind + " 900 0,4 e1").split(" "));
                p.line(("q" + at + " < any").split(" "));
                p.line("line e1>.* mend".split(" "));
            }
            p.rules();
        }
    }

    /** The experiment itself, short: its last line is its verdict. */
    @ParameterizedTest
    @ValueSource(longs = 5)
    @Timeout(60)
    void lab(long seed, @TempDir Path folder) throws Exception {
        assertTrue(new GatewayExperiment(seed, 20, 4, folder).run());
        assertTrue(folder.resolve("latency.png").toFile().length() > 1000);
        assertEquals(true, folder.resolve("table.txt").toFile().exists());
    }
}
