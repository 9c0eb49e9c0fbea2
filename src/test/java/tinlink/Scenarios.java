package tinlink;

import static org.junit.jupiter.api.Named.named;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import org.junit.jupiter.params.provider.Arguments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The files of scenarios; docs/scenarios.md has their notations. */
public final class Scenarios {
    static final Path DIR = Path.of("src/test/resources/scenarios");

    private Scenarios() {}

    /** A file may hold several scenarios, each under a line of "== name". */
    public static List<Arguments> sections(String ending) throws IOException {
        List<Arguments> all = new ArrayList<>();
        for (String file : files(ending)) {
            for (String one : Files.readString(DIR.resolve(file)).split("(?m)^== ", 0)) {
                if (!one.isBlank()) {
                    String title = one.lines().findFirst().orElse("");
                    all.add(arguments(
                            named(file + ": " + title, title),
                            one.lines().skip(1).toList()));
                }
            }
        }
        return all;
    }

    static List<String> files(String ending) throws IOException {
        try (Stream<Path> all = Files.list(DIR)) {
            return all.map(p -> p.getFileName().toString())
                    .filter(n -> n.endsWith(ending))
                    .sorted()
                    .toList();
        }
    }

    /** One step of a script, in words. */
    public interface Step {
        void take(String[] words) throws Exception;
    }

    /**
     * Takes each step of a script; what fails is said with its line.
     *
     * @param between what parts two steps on one line
     */
    public static void play(List<String> script, String between, Step step) {
        int no = 1;
        for (String raw : script) {
            no++;
            try {
                for (String one : raw.replaceAll("(^|\\s)#\\s.*", "").split(between, 0)) {
                    if (!one.isBlank()) {
                        step.take(one.trim().split(" +"));
                    }
                }
            } catch (Exception | AssertionError e) {
                throw new AssertionError(
                        "line " + no + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
    }
}
