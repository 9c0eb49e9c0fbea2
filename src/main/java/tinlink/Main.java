package tinlink;

import java.io.IOException;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import tinlink.benchlink.BenchLink;
import tinlink.router.Router;
import tinlink.start.BadInput;
import tinlink.start.Hangup;
import tinlink.start.KeptLogs;
import tinlink.start.PlainLines;
import tinlink.start.RouterStart;

/** Dispatches the commands of the jar. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(new BenchLink(System.in, System.out, System.err).run());
            case "serve", "warm" -> serve(command.equals("serve"));
            default -> {
                System.err.println("usage: java -jar tinlink.jar benchlink|serve|warm");
                System.err.println("  benchlink   host decision instances on standard input and output");
                System.err.println("  serve       run one query router, told by NODE_CONFIG");
                System.err.println("  warm        run its warm-up alone, for an archive of its classes");
                System.exit(2);
            }
        }
    }

    private static void serve(boolean clients) {
        System.setProperty("java.util.logging.manager", KeptLogs.class.getName());
        try {
            RouterStart start = new RouterStart(System.getenv());
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
                System.exit(0);
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
        } catch (BadInput e) {
            System.err.println(e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("serve: " + e.getMessage());
            System.exit(1);
        }
    }
}
