package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Engineers on call search the log for the events that the pages name: the code has to log each of them. */
class OperatorPagesTest {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern EVENT = Pattern.compile("\\bevent=([a-z][a-z0-9_]*)");
    private static final Pattern STRING = Pattern.compile("\"((?:[^\"\\\\\n]|\\\\.)*)\"");
    /** The names before are there to be found in old logs; those that came after them are in the code. */
    private static final String OLD_AND_NEW = "## Log events, old and new";

    @Test
    void everyEventOnThePagesIsLogged() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(Path.of("docs/on-call.md")));
        try (Stream<Path> operators = Files.list(Path.of("docs/operators"))) {
            operators.filter(page -> page.toString().endsWith(".md")).forEach(pages::add);
        }
        Set<String> named = new TreeSet<>();
        for (Path page : pages) {
            named.addAll(eventsIn(Files.readString(page).split(OLD_AND_NEW, -1)[0]));
        }
        assertFalse(named.isEmpty());
        named.removeAll(loggedEvents());
        assertEquals(Set.of(), named);
    }

    @Test
    void anEventThatIsNotLoggedIsFound() throws IOException {
        Set<String> named = eventsIn("| `event=serving` | and `event=no_such_event` |");
        named.removeAll(loggedEvents());
        assertEquals(Set.of("no_such_event"), named);
    }

    private static Set<String> eventsIn(String text) {
        Set<String> events = new TreeSet<>();
        Matcher event = EVENT.matcher(text);
        while (event.find()) {
            events.add(event.group(1));
        }
        return events;
    }

    /** Events in the code's strings; a string that is a plain word may be one that is put in. */
    private static Set<String> loggedEvents() throws IOException {
        Set<String> logged = new TreeSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                Matcher strings = STRING.matcher(Files.readString(file));
                while (strings.find()) {
                    logged.addAll(eventsIn(strings.group(1)));
                    if (strings.group(1).matches("[a-z][a-z0-9_]*")) {
                        logged.add(strings.group(1));
                    }
                }
            }
        }
        return logged;
    }
}
