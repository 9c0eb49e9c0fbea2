package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * docs/ARCHITECTURE.md is read by engineers who look for what it names. So each class, member and package in
 * a code span of that page has to exist in the sources.
 */
class ArchitecturePageTest {
    private static final Path PAGE = Path.of("docs/ARCHITECTURE.md");
    private static final Path SOURCES = Path.of("src/main/java");

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
    private static final Pattern COMMENT = Pattern.compile("/\\*.*?\\*/|//[^\n]*", Pattern.DOTALL);
    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");
    /** A type's name with a lower-case letter in it, and a member that follows it. */
    private static final Pattern TYPE =
            Pattern.compile("(?<![\\w/])([A-Z]\\w*[a-z]\\w*)(?:\\.([a-z]\\w*))?");

    private static final Pattern PACKAGE = Pattern.compile("tinlink(?:\\.[a-z][a-z0-9]*)+");

    /** By the simple name of a type, the sources that declare one of that name, without their comments. */
    private static final Map<String, List<String>> DECLARING = new HashMap<>();

    @BeforeAll
    static void readSources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String code = COMMENT.matcher(Files.readString(file)).replaceAll("");
                Matcher declared = DECLARATION.matcher(code);
                while (declared.find()) {
                    DECLARING
                            .computeIfAbsent(declared.group(1), name -> new ArrayList<>())
                            .add(code);
                }
            }
        }
    }

    @Test
    void everyNameOnThePageExists() throws IOException {
        String page = Files.readString(PAGE);
        assertEquals(List.of(), missing(page));
        assertTrue(count(page) >= 40, "the page names the classes of its paths");
    }

    @Test
    void eachKindOfMissingNameIsReported() {
        assertEquals(List.of("NoSuchClass"), missing("see `NoSuchClass`"));
        assertEquals(List.of("NoSuchClass"), missing("`Router`, and `NoSuchClass.start` of it"));
        assertEquals(List.of("Router.noSuchMember"), missing("`Router.noSuchMember`"));
        assertEquals(List.of("tinlink.nosuchpackage"), missing("in `tinlink.nosuchpackage`"));
        assertEquals(
                List.of(),
                missing("`Router.reload` in `tinlink.router`; `SIGHUP`, `policy-v1`, NoSuchClass"));
    }

    private static int count(String page) {
        int types = 0;
        Matcher spans = CODE_SPAN.matcher(page);
        while (spans.find()) {
            Matcher type = TYPE.matcher(spans.group(1));
            while (type.find()) {
                types++;
            }
        }
        return types;
    }

    /** Names in the page's code spans that no source has, as they stand there. */
    private static List<String> missing(String page) {
        List<String> missing = new ArrayList<>();
        Matcher spans = CODE_SPAN.matcher(page);
        while (spans.find()) {
            Matcher packages = PACKAGE.matcher(spans.group(1));
            while (packages.find()) {
                if (!Files.isDirectory(SOURCES.resolve(packages.group().replace('.', '/')))) {
                    missing.add(packages.group());
                }
            }
            Matcher types = TYPE.matcher(spans.group(1));
            while (types.find()) {
                List<String> sources = DECLARING.get(types.group(1));
                String member = types.group(2);
                if (sources == null) {
                    missing.add(types.group(1));
                } else if (member != null
                        && sources.stream().noneMatch(code -> declares(code, member))) {
                    missing.add(types.group());
                }
            }
        }
        return missing;
    }

    /** Whether a method, field or record component of that name is declared there, after its type. */
    private static boolean declares(String code, String member) {
        return Pattern.compile("[\\w>\\]]\\s+" + member + "\\s*[(;=,)]")
                .matcher(code)
                .find();
    }
}
