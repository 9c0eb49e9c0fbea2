package tinlink.config;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Corrupts each value of a router's configuration in turn: the file must be read, or be rejected
 * with a message that names the key.
 */
class CorruptedConfigTest {
    private static final String VALID = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
            "limits":{"sockets":256,"memory_mb":192},
            "known":{"rev":41,"all":true,"targets":[]},
            "settings":{"stepMs":5,"zone":0,"groupSize":2,"family":"fanout","discovery":"pushed",
            "localities":["east","west"],"models":["m"],"charges":{"crossZone":0.02},
            "familyInfo":{"sets":12,"reach":2,"slabs":12,"bundleMax":4,"callMs":60,
            "completeFrom":[0.5,1],"minShare":[0.5,1],"incompleteWorth":[0.9,0.9],"followUp":[0,0]},
            "limits":{"connectTimeoutMs":2000,"connIdleMs":30000,"streamsPerConn":8,"tryLimit":3,
            "openCap":40,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":2000},
            "rules":{"coldMs":17000,"fallMs":3000,"fallMultiple":4,"startCapacity":0.16,
            "mustAskInMs":10000,"lookBackMs":4000,"minExtra":6,"resendRatio":0.15},
            "profiles":[{"name":"any","effect":"pure","deadlineMs":4000,"onTimeMs":2000,"worth":1},
            {"name":"pay","effect":"token","deadlineMs":4000,"onTimeMs":2000,"windowMs":500,"worth":2,
            "lateWorth":0.1}]}}
            """;
    private static final String[] CORRUPTED = {
        "null",
        "\"x\"",
        "\"\"",
        "-1",
        "0",
        "1e18",
        "1e300",
        "-1e300",
        "2000000000",
        "true",
        "[]",
        "{}",
        "[[]]",
        "[{}]",
        "{\"a\":{}}",
        "0.0000001"
    };
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    void eachCorruptedValueIsReadOrNamed(@TempDir Path directory) throws IOException {
        List<String> faults = new ArrayList<>();
        List<String[]> paths = new ArrayList<>();
        paths(JSON.readTree(VALID), "", paths);
        assertTrue(paths.size() > 50, "there are values to spoil");
        int rejected = 0;
        for (String[] path : paths) {
            for (String corrupted : CORRUPTED) {
                JsonNode tree = JSON.readTree(VALID);
                put(tree, path, JSON.readTree(corrupted));
                String rejection = rejection(directory, tree.toString());
                rejected += rejection == null ? 0 : 1;
                if (rejection != null && !names(rejection, path)) {
                    faults.add(String.join(".", path) + " = " + corrupted + ": " + rejection);
                }
            }
        }
        assertTrue(rejected > 100, "few were refused: " + rejected);
        assertTrue(faults.isEmpty(), String.join("\n", faults));
    }

    @Test
    void aFileCutAnywhereIsRejected(@TempDir Path directory) throws IOException {
        String valid = VALID.strip();
        for (int length = 0; length < valid.length(); length++) {
            assertNotNull(
                    rejection(directory, valid.substring(0, length)),
                    "read though cut at " + length);
        }
    }

    /**
     * Returns the message with which the file is rejected; null if the file is read. Any exception
     * but InvalidInputException gives a message that starts with "escaped", which counts as a
     * fault.
     */
    private static String rejection(Path directory, String text) throws IOException {
        Path file = directory.resolve("config.json");
        Files.writeString(file, text);
        try {
            new RouterConfig(Map.of("NODE_CONFIG", file.toString()));
            return null;
        } catch (InvalidInputException e) {
            return e.getMessage();
        } catch (RuntimeException | Error e) {
            return "escaped: " + e;
        }
    }

    /**
     * Returns whether the message contains a name on the path to the corrupted value. Indexes of
     * list items don't count; the name of the list is enough.
     */
    private static boolean names(String rejection, String[] path) {
        if (rejection.startsWith("escaped")) {
            return false;
        }
        for (String name : path) {
            if (!name.matches("[0-9]+") && rejection.contains(name)) {
                return true;
            }
        }
        return false;
    }

    private static void paths(JsonNode node, String prefix, List<String[]> all) {
        if (!prefix.isEmpty()) {
            all.add(prefix.substring(1).split("/"));
        }
        if (node instanceof ObjectNode o) {
            o.fieldNames().forEachRemaining(name -> paths(o.get(name), prefix + "/" + name, all));
        } else if (node instanceof ArrayNode a) {
            for (int i = 0; i < a.size(); i++) {
                paths(a.get(i), prefix + "/" + i, all);
            }
        }
    }

    private static void put(JsonNode root, String[] path, JsonNode value) {
        JsonNode node = root;
        for (int i = 0; i < path.length - 1; i++) {
            node = node instanceof ArrayNode a
                    ? a.get(Integer.parseInt(path[i]))
                    : node.get(path[i]);
        }
        String last = path[path.length - 1];
        if (node instanceof ArrayNode a) {
            a.set(Integer.parseInt(last), value);
        } else {
            ((ObjectNode) node).set(last, value);
        }
    }
}
