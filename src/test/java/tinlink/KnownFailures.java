package tinlink;

import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Passes over the tests that KNOWN-RED.txt lists as long as they fail; one that passes fails the run. JUnit
 * finds it only with {@code junit.jupiter.extensions.autodetection.enabled}, which {@code .ci/run} sets.
 */
public final class KnownFailures
        implements TestExecutionExceptionHandler, AfterTestExecutionCallback {
    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final int MAX_KNOWN = 3;

    /** The lines of the file by the test that each names. */
    private final Map<String, String> lines = new HashMap<>();

    /** Reads the file of known failures; without one there are none. */
    public KnownFailures() throws IOException {
        if (!Files.exists(FILE)) {
            return;
        }
        for (String line : Files.readAllLines(FILE)) {
            if (line.isBlank()) {
                continue;
            }
            String[] fields = line.split("\\|", -1);
            if (fields.length != 3) {
                throw new IllegalStateException(FILE + ": not 'test | cause | issue': " + line);
            }
            String test = fields[0].trim();
            lines.put(test, test + " | " + fields[1].trim() + " | " + fields[2].trim());
        }
        if (lines.size() > MAX_KNOWN) {
            throw new IllegalStateException(FILE + " lists more than " + MAX_KNOWN + " tests");
        }
    }

    @Override
    public void handleTestExecutionException(ExtensionContext context, Throwable failure)
            throws Throwable {
        String line = lines.get(nameOf(context));
        if (line == null || failure instanceof TestAbortedException) {
            throw failure;
        }
        System.out.println("known failure: " + line);
        throw new TestAbortedException("known failure: " + line, failure);
    }

    @Override
    public void afterTestExecution(ExtensionContext context) {
        String name = nameOf(context);
        if (lines.containsKey(name) && context.getExecutionException().isEmpty()) {
            throw new AssertionError(FILE + " lists a test that passes: " + name);
        }
    }

    /** The class and method, with the display name behind for one invocation of a parameterized test. */
    private static String nameOf(ExtensionContext context) {
        String name = context.getRequiredTestClass().getName() + "#"
                + context.getRequiredTestMethod().getName();
        boolean oneOfMany = context.getUniqueId().contains("[test-template-invocation:");
        return oneOfMany ? name + "[" + context.getDisplayName() + "]" : name;
    }
}
