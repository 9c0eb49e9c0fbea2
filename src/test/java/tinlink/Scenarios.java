package tinlink;

import static org.junit.jupiter.api.Named.named;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** The files of scenarios; docs/scenarios.md has their notations. */
public final class Scenarios {
    static final Path DIR = Path.of("src/test/resources/scenarios");

    private Scenarios() {
    }

    /** A file may hold several scenarios, each under a line of "== name". */
    public static List<Arguments> sections(String ending) throws IOException {
        List<Arguments> all = new ArrayList<>();
        for (String file : files(ending)) {
            for (String one : Files.readString(DIR.resolve(file)).split("(?m)^== ")) {
                if (!one.isBlank()) {
                    String title = one.lines().findFirst().orElse("");
                    all.add(arguments(named(file + ": " + title, title), one.lines().skip(1).toList()));
                }
            }
        }
        return all;
    }

    static List<String> files(String ending) throws IOException {
        try (Stream<Path> all = Files.list(DIR)) {
            return all.map(p -> p.getFileName().toString()).filter(n -> n.endsWith(ending)).sorted().toList();
        }
    }
}
