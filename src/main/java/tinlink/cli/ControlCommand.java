package tinlink.cli;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** What all commands share that speak to a router's control address. */
abstract class ControlCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--at",
            split = ",",
            paramLabel = "HOST:PORT",
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "${env:TINLINK_CONTROL:-127.0.0.1:7401}",
            description = "control addresses of routers, tried in turn (default: $TINLINK_CONTROL)")
    private List<String> addresses;

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            scope = CommandLine.ScopeType.INHERIT,
            description = "holds the token; absent: $TINLINK_TOKEN")
    private Path tokenFile;
    /** What was answered is printed as it came. */
    @Option(
            names = "--json",
            scope = CommandLine.ScopeType.INHERIT,
            description = "print what was answered")
    boolean json;

    @Override
    public final void run() {
        CommandLine.usage(this, System.err);
    }

    final ControlClient.Response send(Map<String, ?> what) throws IOException {
        return new ControlClient(addresses, tokenFile).send(what);
    }

    final void print(String line) {
        spec.commandLine().getOut().println(line);
    }
}
