package tinlink.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import tinlink.experiment.scale.CapacityPage;
import tinlink.experiment.scale.ServingExperiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** The commands behind docs/CAPACITY.md: the serving measurement, and the page's tables. */
final class CapacityCommands {
    private CapacityCommands() {}

    /** Costs of serving by size. */
    @Command(
            name = "serving-scale",
            description = "One router process at sizes up to the one to plan with.")
    static final class ServingScaleCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of all chance")
        private long seed;

        @Option(names = "--short", description = "a run of seconds at small sizes")
        private boolean shortForm;

        @Option(
                names = "--note",
                paramLabel = "TEXT",
                description = "kept with the results; may be given again")
        private List<String> notes = new ArrayList<>();

        @Option(
                names = "--out",
                defaultValue = "target/lab/scale/serving.json",
                description = "file for the results (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new ServingExperiment(shortForm, seed, notes).run(out) ? 0 : 1;
        }
    }

    /** The tables of the capacity page. */
    @Command(
            name = "capacity",
            description = "Rewrite the tables of docs/CAPACITY.md from saved results.")
    static final class CapacityCommand implements Callable<Integer> {
        @Option(
                names = "--results",
                defaultValue = "docs/measured/scale",
                description = "folder of the results (default: ${DEFAULT-VALUE})")
        private Path results;

        @Option(
                names = "--page",
                defaultValue = "docs/CAPACITY.md",
                description = "the page (default: ${DEFAULT-VALUE})")
        private Path page;

        @Override
        public Integer call() throws Exception {
            CapacityPage.rewrite(page, results);
            return 0;
        }
    }
}
