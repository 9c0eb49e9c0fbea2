package tinlink.cli;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

import tinlink.config.PolicyDocument;
import tinlink.config.RouterConfig;
import tinlink.policy.ProposalTerms;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Changes of policy, as operators ask for them. Exit status: 0 in force (or as asked), 1 withdrawn
 * or refused, 2 not understood, 3 not settled or not known: the same may be said again.
 */
@Command(
        name = "policy",
        description = "Figures that all routers decide by, changed everywhere or nowhere.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:in force, or as asked",
            "1:withdrawn or refused",
            "2:not understood",
            "3:not settled; the same may be said again"
        })
final class PolicyCommands extends ControlCommand {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(
                    JsonReadFeature.ALLOW_JAVA_COMMENTS,
                    JsonReadFeature.ALLOW_TRAILING_COMMA,
                    JsonReadFeature.ALLOW_SINGLE_QUOTES,
                    JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .build();
    private static final int REFUSED = 1;
    private static final int NOT_SETTLED = 3;

    @Command(
            name = "show",
            description = "What is in force, and by what the asked router takes lookups now.")
    int show() throws IOException {
        ControlClient.Response s = send(Map.of("do", "policy-show"));
        return s.status() == 200 ? printResult(s, 0) : other(s);
    }

    @Command(name = "history", description = "Changes, newest last.")
    int history() throws IOException {
        ControlClient.Response s = send(Map.of("do", "policy-history"));
        return s.status() == 200 ? printResult(s, 0) : other(s);
    }

    @Command(
            name = "check",
            description = "Whether a router of that configuration can use the file.")
    int check(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--config",
                            required = true,
                            paramLabel = "FILE",
                            description = "as NODE_CONFIG")
                    String config)
            throws IOException {
        String text = Files.readString(file);
        ProposalTerms terms = ProposalTerms.parse(text);
        new PolicyDocument(text, new RouterConfig(Map.of("NODE_CONFIG", config)));
        print("good for " + config + ", digest " + terms.digest());
        return 0;
    }

    @Command(name = "diff", description = "What a file says otherwise than what is in force.")
    int diff(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        ControlClient.Response s = send(Map.of("do", "policy-show"));
        if (s.status() != 200) {
            return other(s);
        }
        String now = s.body().path("in_force").path("text").asText();
        Map<String, String> before = flat(now.isEmpty() ? "{}" : now);
        Map<String, String> after = flat(Files.readString(file));
        TreeSet<String> all = new TreeSet<>(before.keySet());
        all.addAll(after.keySet());
        for (String key : all) {
            String a = before.getOrDefault(key, "not there");
            String b = after.getOrDefault(key, "not there");
            if (!a.equals(b)) {
                print(key + ": " + a + " -> " + b);
            }
        }
        return 0;
    }

    private static Map<String, String> flat(String text) throws IOException {
        Map<String, String> all = new TreeMap<>();
        flat("", JSON.readTree(text), all);
        return all;
    }

    private static void flat(String path, JsonNode n, Map<String, String> all) {
        if (n.isObject()) {
            n.properties()
                    .forEach(e -> flat(
                            path.isEmpty() ? e.getKey() : path + "." + e.getKey(),
                            e.getValue(),
                            all));
        } else {
            all.put(path, n.toString());
        }
    }

    @Command(
            name = "propose",
            description = "Propose a file; in force everywhere or withdrawn everywhere.")
    int propose(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--id",
                            required = true,
                            description = "yours; said twice it is one change")
                    String id,
            @Option(
                            names = "--against",
                            description = "the epoch it was written against; absent: the one now")
                    Integer against,
            @Option(names = "--author", defaultValue = "${sys:user.name}") String author,
            @Option(names = "--why", defaultValue = "") String why,
            @Option(names = "--wait-s", defaultValue = "60", description = "for its outcome")
                    int waitS)
            throws IOException, InterruptedException {
        return propose(id, Files.readString(file), against, author, why, waitS);
    }

    @Command(
            name = "undo",
            description = "Propose what was in force before; a change like any other.")
    int undo(
            @Option(names = "--id", required = true) String id,
            @Option(names = "--author", defaultValue = "${sys:user.name}") String author,
            @Option(names = "--wait-s", defaultValue = "60") int waitS)
            throws IOException, InterruptedException {
        ControlClient.Response s = send(Map.of("do", "policy-show"));
        if (s.status() != 200) {
            return other(s);
        }
        if (!s.body().has("before")) {
            print("nothing was in force before");
            return REFUSED;
        }
        String text = s.body().path("before").path("text").asText();
        return propose(
                id,
                text.isEmpty() ? "{}" : text,
                s.body().path("in_force").path("epoch").asInt(),
                author,
                "undo of epoch " + s.body().path("in_force").path("epoch").asInt(),
                waitS);
    }

    private int propose(
            String id, String text, Integer against, String author, String why, int waitS)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + 1_000_000_000L * waitS;
        Integer epoch = against;
        while (epoch == null) {
            ControlClient.Response s = send(Map.of("do", "policy-show"));
            if (s.status() == 200) {
                epoch = s.body().path("in_force").path("epoch").asInt();
            } else if (!s.mayBeRepeated() || System.nanoTime() > end) {
                return other(s);
            }
        }
        Map<String, Object> what = new LinkedHashMap<>(Map.of(
                "do",
                "policy-propose",
                "id",
                id,
                "text",
                text,
                "against",
                epoch,
                "author",
                author,
                "why",
                why));
        ControlClient.Response last = send(what);
        while (System.nanoTime() < end) {
            if ((last.status() == 200 && !last.message().isEmpty()) || last.status() == 400) {
                return other(last);
            }
            ControlClient.Response s = send(Map.of("do", "policy-status", "id", id));
            String state = s.body().path("change").path("state").asText();
            if (state.equals("in force") || state.equals("withdrawn")) {
                return ended(s);
            }
            Thread.sleep(200);
            last = s.status() == 404 || last.mayBeRepeated() ? send(what) : last;
        }
        print("not settled yet");
        return NOT_SETTLED;
    }

    @Command(name = "status", description = "How a change has ended, or that it has not.")
    int status(@Parameters(paramLabel = "ID") String id) throws IOException {
        ControlClient.Response s = send(Map.of("do", "policy-status", "id", id));
        return s.status() == 200 ? ended(s) : other(s);
    }

    @Command(name = "withdraw", description = "Withdraw a change that is not settled.")
    int withdraw(
            @Parameters(paramLabel = "ID") String id,
            @Option(names = "--why", defaultValue = "withdrawn by its operator") String why)
            throws IOException {
        ControlClient.Response s = send(Map.of("do", "policy-withdraw", "id", id, "why", why));
        return s.status() == 200 && s.message().isEmpty() ? printResult(s, 0) : other(s);
    }

    private int ended(ControlClient.Response s) {
        String state = s.body().path("change").path("state").asText();
        return printResult(
                s,
                state.equals("in force") ? 0 : state.equals("withdrawn") ? REFUSED : NOT_SETTLED);
    }

    private int other(ControlClient.Response s) {
        printResult(s, 0);
        return s.mayBeRepeated() || s.status() == 404
                ? NOT_SETTLED
                : s.status() == 400 ? 2 : REFUSED;
    }

    private int printResult(ControlClient.Response s, int status) {
        if (json) {
            print(s.body().toString());
            return status;
        }
        for (JsonNode c : s.body().path("changes")) {
            change(c);
        }
        if (s.body().has("change")) {
            change(s.body().get("change"));
        }
        if (s.body().has("in_force")) {
            JsonNode v = s.body().get("in_force");
            print("epoch " + v.path("epoch").asText() + " is in force, by "
                    + v.path("change").asText("-")
                    + " of "
                    + v.path("author").asText("-") + ": " + v.path("reason").asText());
            String why = s.body().path("why").asText();
            print("router " + s.body().path("router").asText()
                    + (why.isEmpty()
                            ? " takes lookups by epoch "
                                    + s.body().path("epoch").asText()
                            : " takes no lookups: " + why));
            print(v.path("text").asText());
        }
        if (!s.message().isEmpty()) {
            print(s.message());
        }
        return status;
    }

    private void change(JsonNode c) {
        print(c.path("id").asText() + ": " + c.path("state").asText()
                + (c.path("epoch").asLong() > 0 ? ", epoch " + c.path("epoch").asText() : "")
                + (c.path("why").asText().isEmpty() ? "" : ", " + c.path("why").asText()) + " ("
                + c.path("author").asText() + ": "
                + c.path("reason").asText()
                + ")");
    }
}
