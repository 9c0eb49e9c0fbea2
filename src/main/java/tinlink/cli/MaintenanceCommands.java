package tinlink.cli;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import tinlink.config.InvalidInputException;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Work on machines, as operators ask for it. Exit status: 0 as asked, 1 refused or not so, 2 not
 * understood, 3 not known (nobody answered, or it is not known to be agreed): the same may be said
 * again.
 */
@Command(
        name = "work",
        description = "Machines taken out for work: ask any router over its control address.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:as asked",
            "1:refused",
            "2:not understood",
            "3:not known; the same may be said again"
        })
final class MaintenanceCommands extends ControlCommand {
    private static final int REFUSED = 1;
    private static final int NOT_KNOWN = 3;

    // ---- What may be said. ----

    @Command(name = "ask", description = "Machines need work; the routers settle when each goes.")
    int ask(
            @Option(
                            names = "--id",
                            required = true,
                            description = "yours; asked twice it is one request")
                    String id,
            @Option(
                            names = "--for",
                            required = true,
                            paramLabel = "TIME",
                            description = "how long each is out, as 30m, 90s, 2h")
                    String forTime,
            @Option(
                            names = "--within",
                            paramLabel = "TIME",
                            description = "each has to start so soon")
                    String within,
            @Option(names = "--urgency", defaultValue = "5", description = "0 to 9") int urgency,
            @Option(names = "--author", defaultValue = "${sys:user.name}") String author,
            @Option(names = "--why", defaultValue = "work") String why,
            @Parameters(
                            arity = "1..*",
                            paramLabel = "MACHINE",
                            description =
                                    "an id, or pairs that have to hold, as zone=z1,kind=router")
                    List<String> machines)
            throws IOException {
        Map<String, Object> what = new LinkedHashMap<>(Map.of(
                "do",
                "ask",
                "id",
                id,
                "machines",
                machines,
                "for_ms",
                millis(forTime),
                "urgency",
                urgency,
                "author",
                author,
                "why",
                why));
        if (within != null) {
            what.put("within_ms", millis(within));
        }
        return printResult(send(what));
    }

    @Command(name = "list", description = "All requests, newest last.")
    int list() throws IOException {
        return printResult(send(Map.of("do", "list")));
    }

    @Command(name = "explain", description = "What each machine of a request waits for.")
    int explain(@Parameters(paramLabel = "ID") String id) throws IOException {
        return printResult(send(Map.of("do", "show", "id", id)));
    }

    @Command(name = "watch", description = "Follow a request until it is over.")
    int watch(
            @Parameters(paramLabel = "ID") String id,
            @Option(
                            names = "--until",
                            paramLabel = "STATE",
                            description = "or until a machine of it stands so, as out")
                    String until,
            @Option(names = "--most", defaultValue = "24h", paramLabel = "TIME") String most)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + 1_000_000L * millis(most);
        Map<String, String> before = new TreeMap<>();
        while (System.nanoTime() < end) {
            ControlClient.Response s = send(Map.of("do", "show", "id", id));
            for (JsonNode m : s.body().path("request").path("machines")) {
                String now = line(m);
                if (!now.equals(before.put(m.path("machine").asText(), now))) {
                    print(json ? m.toString() : now);
                }
                if (m.path("state").asText().equals(until)) {
                    return 0;
                }
            }
            if (s.body().path("request").path("over").asBoolean()) {
                boolean back = true;
                for (JsonNode m : s.body().path("request").path("machines")) {
                    back &= m.path("state").asText().equals("back");
                }
                return back ? 0 : REFUSED;
            }
            if (s.status() == 401 || s.status() == 400) {
                return printResult(s);
            }
            Thread.sleep(500);
        }
        print("not over yet");
        return NOT_KNOWN;
    }

    @Command(
            name = "done",
            description = "The work is done: the machine is back, or lost for good.")
    int done(
            @Parameters(paramLabel = "ID") String id,
            @Parameters(
                            paramLabel = "MACHINE",
                            arity = "0..1",
                            description = "absent: all of the request")
                    String machine,
            @Option(names = "--lost", description = "it does not come back") boolean lost)
            throws IOException {
        Map<String, Object> what =
                new LinkedHashMap<>(Map.of("do", "done", "id", id, "lost", lost));
        if (machine != null) {
            what.put("machine", machine);
        }
        return printResult(send(what));
    }

    @Command(
            name = "call-off",
            description = "What has not gone out yet stays; what is out has to be done.")
    int callOff(
            @Parameters(paramLabel = "ID") String id,
            @Option(names = "--why", defaultValue = "called off") String why)
            throws IOException {
        return printResult(send(Map.of("do", "call-off", "id", id, "why", why)));
    }

    @Command(name = "machines", description = "All machines as the routers have agreed on them.")
    int machines() throws IOException {
        return printResult(send(Map.of("do", "machines")));
    }

    @Command(name = "router", description = "How the asked router stands with the others.")
    int router() throws IOException {
        return printResult(send(Map.of("do", "router")));
    }

    @Command(
            name = "ended",
            description = "You vouch that a router's process is gone: nobody waits for it.")
    int ended(@Parameters(paramLabel = "ROUTER") String router) throws IOException {
        return printResult(send(Map.of("do", "ended", "router", router)));
    }

    @Command(
            name = "seat",
            description = "A voter's machine is lost for good: its seat goes to another.")
    int seat(@Parameters(paramLabel = "FROM") String from, @Parameters(paramLabel = "TO") String to)
            throws IOException {
        return printResult(send(Map.of("do", "seat", "from", from, "to", to)));
    }

    // ---- How it is told. ----

    private int printResult(ControlClient.Response s) {
        String said = s.body().path("said").asText("");
        if (json) {
            print(s.body().toString());
        } else {
            for (JsonNode r : s.body().path("requests")) {
                request(r);
            }
            if (s.body().has("request")) {
                request(s.body().get("request"));
            }
            for (JsonNode m : s.body().path("machines")) {
                print(String.format(
                        Locale.ROOT,
                        "%-20s %-6s %-4s %-8s %-8s %s%s%s",
                        m.path("id").asText(),
                        m.path("kind").asText(),
                        m.path("cell").asText("-"),
                        m.path("zone").asText(),
                        m.path("site").asText(),
                        m.path("sound").asBoolean() ? "sound" : "not sound",
                        m.path("voter").asBoolean() ? ", voter" : "",
                        m.path("away").asText().isEmpty()
                                ? ""
                                : ", away for " + m.path("away").asText()));
            }
            if (s.body().has("life")) {
                s.body().properties().forEach(e -> print(e.getKey() + ": " + e.getValue()));
            }
            if (s.body().has("note")) {
                print(s.body().path("note").asText());
            }
            if (!said.isEmpty()) {
                print(said);
            }
        }
        return s.status() == 200
                ? said.isEmpty() ? 0 : REFUSED
                : s.status() == 0 || s.status() == 503
                        ? NOT_KNOWN
                        : s.status() == 400 ? 2 : REFUSED;
    }

    private void request(JsonNode r) {
        print(String.format(
                Locale.ROOT,
                "%s  urgency %d, %s each, by %s: %s",
                r.path("id").asText(),
                r.path("urgency").asInt(),
                Duration.ofMillis(r.path("for_ms").asLong())
                        .toString()
                        .substring(2)
                        .toLowerCase(Locale.ROOT),
                r.path("author").asText(),
                r.path("reason").asText()));
        for (JsonNode m : r.path("machines")) {
            print("  " + line(m));
        }
    }

    private static String line(JsonNode m) {
        String why = m.path("why").asText();
        return String.format(
                Locale.ROOT,
                "%-20s %s%s%s",
                m.path("machine").asText(),
                m.path("state").asText(),
                m.path("fence").asLong() > 0 ? " (grant " + m.path("fence").asLong() + ")" : "",
                why.isEmpty() ? "" : ": " + why);
    }

    /** As 250ms, 90s, 30m, 2h, 1d. */
    private static long millis(String time) {
        String number = time.replaceFirst("(ms|s|m|h|d)$", "");
        double unit =
                switch (time.substring(number.length())) {
                    case "ms" -> 1;
                    case "s" -> 1000;
                    case "m" -> 60_000;
                    case "h" -> 3_600_000;
                    case "d" -> 86_400_000;
                    default ->
                        throw new InvalidInputException(
                                "a time is a number with ms, s, m, h or d: " + time);
                };
        try {
            return Math.max(1, Math.round(Double.parseDouble(number) * unit));
        } catch (NumberFormatException e) {
            throw new InvalidInputException("a time is a number with ms, s, m, h or d: " + time);
        }
    }
}
