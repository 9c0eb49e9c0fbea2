package tinlink;

import java.io.IOException;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import tinlink.benchlink.BenchLink;
import tinlink.cli.Commands;
import tinlink.router.Router;
import tinlink.start.BadInput;
import tinlink.start.Hangup;
import tinlink.start.KeptLogs;
import tinlink.start.PlainLines;
import tinlink.start.RouterStart;

/** Dispatches the commands of the jar. */
public final class Main {
    private static final int SERVED = -1;

    private Main() {
    }

    public static void main(String[] args) {
        // Danger: the platform's starts are on part of a core; what is loaded for arguments costs them
        // nothing.
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(new BenchLink(System.in, System.out, System.err).run());
            case "serve", "warm" -> exit(serve(System.getenv(), command.equals("serve")));
            default -> exit(Commands.run(env -> serve(env, true), args));
        }
    }

    private static void exit(int status) {
        if (status != SERVED) {
            System.exit(status);
        }
    }

    /** @return the exit status, or SERVED after an orderly stop, which ends the process itself */
    private static int serve(Map<String, String> env, boolean clients) {
        System.setProperty("java.util.logging.manager", KeptLogs.class.getName());
        try {
            RouterStart start = new RouterStart(env);
            Logger log = Logger.getLogger("tinlink");
            Handler console = new ConsoleHandler();
            console.setLevel(Level.ALL);
            console.setFormatter(new PlainLines());
            log.addHandler(console);
            log.setUseParentHandlers(false);
            log.setLevel(start.logLevel);
            Router router = new Router(start, start.built.module);
            Hangup.hear(router::reload);
            if (!clients) {
                router.warmUp();
                return 0;
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    router.stopAndWait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            router.warmUp();
            router.run();
            return SERVED;
        } catch (BadInput e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("serve: " + e.getMessage());
            return 1;
        }
    }
}
