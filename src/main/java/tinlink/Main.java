package tinlink;

import tinlink.cli.Commands;
import tinlink.config.HangupSignal;
import tinlink.config.InvalidInputException;
import tinlink.config.PlainLogFormatter;
import tinlink.config.RouterConfig;
import tinlink.config.ShutdownSafeLogManager;
import tinlink.net.FatalErrorHandler;
import tinlink.router.Router;
import tinlink.simadapter.SimulatorAdapter;

import java.io.IOException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Dispatches the commands of the jar. */
public final class Main {
    private static final int SERVED = -1;

    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        boolean hasNoOptionalFile = System.getenv("NODE_GATEWAY") == null
                && System.getenv("NODE_HTTP2") == null
                && System.getenv("NODE_PEERS") == null
                && System.getenv("NODE_WORK") == null;
        switch (command) {
            case "benchlink" ->
                System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
            case "warm" -> exit(serve(System.getenv(), false));
            case "serve" ->
                exit(hasNoOptionalFile ? serve(System.getenv(), true) : runWithLibraries(args));
            default -> exit(runWithLibraries(args));
        }
    }

    /**
     * Danger: libraries that the jar's manifest names are looked at by each start, which costs
     * those of the platform 20 ms and a megabyte that they do not use. So they get a loader of
     * their own, and with them the whole program once more.
     */
    private static int runWithLibraries(String[] args) {
        try {
            Path jar = Path.of(Main.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path libraryFolder = jar.resolveSibling("lib");
            if (!Files.isRegularFile(jar) || !Files.isDirectory(libraryFolder)) {
                return command(
                        args); // Not from a jar: whoever started it has them on its class path.
            }
            List<URL> urls = new ArrayList<>(List.of(jar.toUri().toURL()));
            try (DirectoryStream<Path> jarFiles =
                    Files.newDirectoryStream(libraryFolder, "*.jar")) {
                for (Path jarFile : jarFiles) {
                    urls.add(jarFile.toUri().toURL());
                }
            }
            ClassLoader loader = new URLClassLoader(
                    urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(loader);
            return (int) loader.loadClass(Main.class.getName())
                    .getMethod("command", String[].class)
                    .invoke(null, (Object) args);
        } catch (IOException | URISyntaxException | ReflectiveOperationException e) {
            System.err.println("the libraries beside the jar can't be used: " + e);
            return 1;
        }
    }

    /** With the libraries at hand: the commands that need them. */
    public static int command(String[] args) {
        return Commands.run(environment -> serve(environment, true), args);
    }

    private static void exit(int status) {
        if (status != SERVED) {
            System.exit(status);
        }
    }

    /** @return the exit status, or SERVED after an orderly stop, which ends the process itself */
    private static int serve(Map<String, String> environment, boolean servesClients) {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        FatalErrorHandler fatalErrorHandler = new FatalErrorHandler();
        Thread.setDefaultUncaughtExceptionHandler(fatalErrorHandler);
        try {
            RouterConfig config = new RouterConfig(environment);
            Logger log = Logger.getLogger("tinlink");
            Handler console = new ConsoleHandler();
            console.setLevel(Level.ALL);
            console.setFormatter(new PlainLogFormatter());
            log.addHandler(console);
            log.setUseParentHandlers(false);
            log.setLevel(config.logLevel);
            Router router = new Router(config, config.decision.module);
            HangupSignal.onHangup(router::reload);
            if (!servesClients) {
                router.onlyWarmUp();
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
            return run(router, fatalErrorHandler);
        } catch (InvalidInputException e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("serve: " + e.getMessage());
            return 1;
        }
    }

    private static int run(Router router, FatalErrorHandler fatalErrorHandler) throws IOException {
        try {
            router.run();
            return SERVED;
        } catch (Error e) {
            // The event loop has ended. Reflection between here and the thread would hide the
            // error.
            fatalErrorHandler.uncaughtException(Thread.currentThread(), e);
            throw e;
        }
    }
}
