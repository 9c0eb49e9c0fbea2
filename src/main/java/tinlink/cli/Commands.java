package tinlink.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import tinlink.config.InvalidInputException;
import tinlink.experiment.Emulation;
import tinlink.experiment.GatewayExperiment;
import tinlink.experiment.MaintenanceSimulationExperiment;
import tinlink.experiment.PolicySimulationExperiment;
import tinlink.experiment.processes.MaintenanceExperiment;
import tinlink.experiment.processes.PolicyExperiment;
import tinlink.experiment.scale.SimulatedControlExperiment;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/**
 * The command line. What the platform calls without arguments does not come here, and loads nothing
 * of this.
 */
@Command(
        name = "tinlink",
        mixinStandardHelpOptions = true,
        description = "A query router and gateway between sites.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {Commands.LabCommand.class, MaintenanceCommands.class, PolicyCommands.class})
public final class Commands implements Runnable {
    /** Runs a router with this environment, until it is told to stop; its exit status. */
    public interface RouterRunner {
        int run(Map<String, String> env);
    }

    private final RouterRunner routerRunner;

    private Commands(RouterRunner serves) {
        this.routerRunner = serves;
    }

    /** Returns the exit status: 0 done, 1 failed or rules broken, 2 not understood. */
    public static int run(RouterRunner serves, String... args) {
        CommandLine line = new CommandLine(new Commands(serves));
        line.setExecutionExceptionHandler((e, cmd, result) -> {
            if (e instanceof InvalidInputException) {
                cmd.getErr().println(e.getMessage());
                return 1;
            }
            throw e;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.err);
    }

    @Command(
            name = "serve",
            description = "Run one query router, told by NODE_CONFIG and the other variables.")
    int serve(
            @Option(names = "--config", paramLabel = "FILE", description = "as NODE_CONFIG")
                    String config,
            @Option(
                            names = "--gateway",
                            paramLabel = "FILE",
                            description = "links with other sites, as NODE_GATEWAY")
                    String gateway,
            @Option(
                            names = "--http2",
                            paramLabel = "FILE",
                            description = "nodes over HTTP/2, as NODE_HTTP2")
                    String http2,
            @Option(
                            names = "--peers",
                            paramLabel = "FILE",
                            description = "other routers, as NODE_PEERS")
                    String peers,
            @Option(
                            names = "--work",
                            paramLabel = "FILE",
                            description = "work on machines, as NODE_WORK")
                    String work) {
        Map<String, String> env = new HashMap<>(System.getenv());
        if (config != null) {
            env.put("NODE_CONFIG", config);
        }
        if (gateway != null) {
            env.put("NODE_GATEWAY", gateway);
        }
        if (http2 != null) {
            env.put("NODE_HTTP2", http2);
        }
        if (peers != null) {
            env.put("NODE_PEERS", peers);
        }
        if (work != null) {
            env.put("NODE_WORK", work);
        }
        return routerRunner.run(env);
    }

    @Command(
            name = "emulate",
            description = "Start two whole sites on loopback, as a file says, until interrupted.")
    int emulate(
            @Parameters(paramLabel = "FILE", description = "for example deploy/emulate.json5")
                    String file)
            throws Exception {
        return Emulation.run(file);
    }

    @Command(
            name = "lab",
            description = "Experiments on emulated servers; each ends with one line of figures.",
            subcommands = {
                GatewayLabCommand.class,
                MaintenanceSimCommand.class,
                MaintenanceProcessesCommand.class,
                PolicySimCommand.class,
                ScaleSimCommand.class,
                PolicyProcessesCommand.class,
                ScaleCommand.class,
                CapacityCommands.ServingScaleCommand.class,
                CapacityCommands.CapacityCommand.class
            })
    static final class LabCommand implements Runnable {
        @Override
        public void run() {
            CommandLine.usage(this, System.err);
        }
    }

    /** The experiment of the gateway. */
    @Command(
            name = "gateway",
            description = "Two sites, lines that are cut, a far router that is killed.")
    static final class GatewayLabCommand implements Callable<Integer> {
        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of all chance (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--delay-ms", defaultValue = "200", description = "of the line, each way")
        private long delayMs;

        @Option(names = "--seconds", defaultValue = "20", description = "of the side with trouble")
        private double seconds;

        @Option(
                names = "--out",
                defaultValue = "target/lab/gateway",
                description = "folder for table and chart")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new GatewayExperiment(seed, delayMs, seconds, out).run() ? 0 : 1;
        }
    }

    /** Changes of policy, with routers in processes of their own. */
    @Command(name = "policy", description = "Router processes that change their policy.")
    static final class PolicyProcessesCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of all chance")
        private long seed;

        @Option(names = "--routers", defaultValue = "9", description = "each a process")
        private int routers;

        @Option(names = "--changes", defaultValue = "30", description = "one after the other")
        private int changes;

        @Option(names = "--faults", defaultValue = "8", description = "to and between processes")
        private int faults;

        @Option(names = "--seconds", defaultValue = "45", description = "over which it all happens")
        private double seconds;

        @Option(names = "--absent", defaultValue = "fence", description = "wait, withdraw or fence")
        private String absent;

        @Option(
                names = "--out",
                defaultValue = "target/lab/policy",
                description = "folder for the report")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new PolicyExperiment(seed, routers, changes, faults, seconds, absent, out).run()
                    ? 0
                    : 1;
        }
    }

    /** Changes of policy, in simulated time. */
    @Command(name = "policy-sim", description = "Changes of policy through seeded faults.")
    static final class PolicySimCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of the first schedule")
        private long seed;

        @Option(names = "--routers", defaultValue = "9", description = "in the fleet")
        private int routers;

        @Option(names = "--schedules", defaultValue = "300", description = "how many are played")
        private int schedules;

        @Option(
                names = "--planted",
                description = "with a fault of the routers' that has to be found")
        private boolean planted;

        @Option(
                names = "--out",
                defaultValue = "target/lab/policy-sim",
                description = "folder for the report")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new PolicySimulationExperiment(seed, routers, schedules, planted, out).run()
                    ? 0
                    : 1;
        }
    }

    /** What control costs by number of routers, in simulated time. */
    @Command(name = "scale-sim", description = "What control costs by number of routers.")
    static final class ScaleSimCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of the first repeat")
        private long seed;

        @Option(names = "--repeats", defaultValue = "3", description = "seeds a size")
        private int repeats;

        @Option(
                names = "--routers",
                split = ",",
                defaultValue = "9,50,100,200,560",
                description = "numbers of routers (default: ${DEFAULT-VALUE})")
        private List<Integer> routers;

        @Option(
                names = "--out",
                defaultValue = "target/lab/scale/simulated.json",
                description = "file of results (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new SimulatedControlExperiment(seed, repeats, routers, out).run() ? 0 : 1;
        }
    }

    /** Work on machines, in simulated time. */
    @Command(
            name = "work-sim",
            description = "Routers that agree on work on machines, through seeded faults.")
    static final class MaintenanceSimCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of the first schedule")
        private long seed;

        @Option(
                names = "--routers",
                defaultValue = "9",
                description = "in the fleet (default: ${DEFAULT-VALUE})")
        private int routers;

        @Option(names = "--schedules", defaultValue = "200", description = "how many are played")
        private int schedules;

        @Option(
                names = "--planted",
                description = "with a fault of the routers' that has to be found")
        private boolean planted;

        @Option(
                names = "--out",
                defaultValue = "target/lab/work-sim",
                description = "folder for the report")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new MaintenanceSimulationExperiment(seed, routers, schedules, planted, out).run()
                    ? 0
                    : 1;
        }
    }

    /** Work on machines, with routers in processes of their own. */
    @Command(
            name = "work",
            description = "Router processes that take machines out, through seeded faults.")
    static final class MaintenanceProcessesCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "of all chance")
        private long seed;

        @Option(names = "--routers", defaultValue = "7", description = "each a process")
        private int routers;

        @Option(names = "--nodes", defaultValue = "24", description = "emulated data nodes")
        private int nodes;

        @Option(names = "--faults", defaultValue = "10", description = "to and between processes")
        private int faults;

        @Option(names = "--seconds", defaultValue = "40", description = "over which it all happens")
        private double seconds;

        @Option(
                names = "--replay",
                paramLabel = "FILE",
                description = "faults as they were written before")
        private Path file;

        @Option(
                names = "--out",
                defaultValue = "target/lab/work",
                description = "folder for the report")
        private Path out;

        @Override
        public Integer call() throws Exception {
            return new MaintenanceExperiment(seed, routers, nodes, faults, seconds, file, out).run()
                    ? 0
                    : 1;
        }
    }
}
