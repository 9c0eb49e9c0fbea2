package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Named.named;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import tinlink.benchlink.BenchLink;

/** Plays every scenario: the module's through {@link Player}, the wire's through the adapter. */
class ScenarioTest {
    private static final Path DIR = Path.of("src/test/resources/scenarios");

    /** A file may hold several scenarios, each under a line of "== name". */
    static List<Arguments> module() throws IOException {
        List<Arguments> all = new ArrayList<>();
        for (String file : files(".scn")) {
            for (String one : Files.readString(DIR.resolve(file)).split("(?m)^== ")) {
                if (!one.isBlank()) {
                    all.add(arguments(named(file + ": " + one.lines().findFirst().orElse(""),
                            one.lines().skip(1).toList())));
                }
            }
        }
        return all;
    }

    static List<String> wire() throws IOException {
        return files(".wire");
    }

    private static List<String> files(String ending) throws IOException {
        try (Stream<Path> all = Files.list(DIR)) {
            return all.map(p -> p.getFileName().toString()).filter(n -> n.endsWith(ending)).sorted().toList();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void module(List<String> script) {
        new Player().play(script);
    }

    /** Lines with ">" go in, "<" must come out, "!" must be said on standard error. */
    @ParameterizedTest
    @MethodSource
    void wire(String file) throws IOException {
        List<String> lines = Files.readAllLines(DIR.resolve(file));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        byte[] in = pick(lines, "> ").getBytes(StandardCharsets.UTF_8);
        int status = new BenchLink(new ByteArrayInputStream(in), out,
                new PrintStream(err, true, StandardCharsets.UTF_8)).run();
        assertEquals(pick(lines, "< "), out.toString(StandardCharsets.UTF_8));
        assertEquals(pick(lines, "! "), err.toString(StandardCharsets.UTF_8));
        assertEquals(pick(lines, "! ").isEmpty() ? 0 : 1, status);
    }

    private static String pick(List<String> lines, String mark) {
        return lines.stream().filter(l -> l.startsWith(mark)).map(l -> l.substring(2) + "\n")
                .collect(Collectors.joining());
    }
}
