package tinlink.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import tinlink.experiment.scale.ControlScaleExperiment;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

/** The experiment of what the control side costs by size. */
@Command(
        name = "scale",
        description = "Control costs by the number of routers, real ones beside hollow ones.")
final class ScaleCommand implements Callable<Integer> {
    /** Real routers where {@code --hollow} does not say otherwise. */
    private static final int REAL = 3;

    @Option(names = "--seed", defaultValue = "1", description = "of all chance")
    private long seed;

    @Option(names = "--routers", defaultValue = "84", description = "at the largest size")
    private int routers;

    @Option(names = "--hollow", description = "of the routers (default: all but 3)")
    private Integer hollow;

    @Option(names = "--nodes", defaultValue = "28", description = "data nodes on each list")
    private int nodes;

    @Option(
            names = "--node-sizes",
            split = ",",
            description = "numbers of data nodes to measure instead of smaller numbers of routers")
    private List<Integer> nodeSizes = List.of();

    @Option(names = "--note", description = "to be saved with the results, such as what ran beside")
    private List<String> notes = List.of();

    @Option(
            names = "--out",
            defaultValue = "target/lab/scale/control.json",
            description = "file for the results")
    private Path out;

    @Override
    public Integer call() throws Exception {
        int hollowRouters = hollow == null ? routers - REAL : hollow;
        return new ControlScaleExperiment(
                                seed, routers, hollowRouters, nodes, nodeSizes, notes, out)
                        .run()
                ? 0
                : 1;
    }
}
