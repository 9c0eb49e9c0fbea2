package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A file with one named record a line, as an earlier build wrote it: the name, a space, the record as text
 * or in hex. Bytes that are drawn by chance (nonces, for one) stand there as a name in braces.
 *
 * <p>The files are written anew with {@code -Dgolden.write=true}, which is for new records alone: a record
 * that is there already must never change.
 */
public final class GoldenFile {
    private static final Path FOLDER = Path.of("src/test/resources/golden");
    private static final boolean WRITES = Boolean.getBoolean("golden.write");

    private GoldenFile() {}

    /** Fails unless the file holds exactly these records, in this order. */
    public static void holds(String file, String about, Map<String, String> records)
            throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("# " + about);
        records.forEach((name, record) -> lines.add(name + " " + record));
        if (WRITES) {
            Files.createDirectories(FOLDER);
            Files.write(
                    FOLDER.resolve(file),
                    (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        }
        Map<String, String> golden = read(file);
        assertEquals(List.copyOf(golden.keySet()), List.copyOf(records.keySet()), file);
        golden.forEach((name, record) ->
                assertEquals(record, records.get(name), () -> file + ": " + name));
    }

    /** The records of a file by name, in its order. */
    public static Map<String, String> read(String file) throws IOException {
        Map<String, String> records = new LinkedHashMap<>();
        String text = Files.readString(FOLDER.resolve(file), StandardCharsets.UTF_8);
        for (String line : text.split("\n", -1)) {
            if (!line.isEmpty() && !line.startsWith("#")) {
                int space = line.indexOf(' ');
                assertTrue(space > 0, () -> file + ": no record: " + line);
                records.put(line.substring(0, space), line.substring(space + 1));
            }
        }
        return records;
    }

    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** Bytes of a record that are drawn by chance or measured: so many of them from that place on. */
    public record Drawn(String name, int from, int length) {}

    /**
     * In hex, with each of the drawn pieces replaced by its name in braces.
     *
     * @param drawn in the order of their places
     */
    public static String hex(byte[] bytes, Drawn... drawn) {
        StringBuilder text = new StringBuilder();
        int at = 0;
        for (Drawn piece : drawn) {
            text.append(hex(Arrays.copyOfRange(bytes, at, piece.from())));
            text.append('{').append(piece.name()).append('}');
            at = piece.from() + piece.length();
        }
        return text + hex(Arrays.copyOfRange(bytes, at, bytes.length));
    }

    public static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex);
    }

    /** The bytes of a record, with the drawn pieces in the places of their names. */
    public static byte[] bytes(String hex, Map<String, byte[]> drawn) {
        String text = hex;
        for (Map.Entry<String, byte[]> piece : drawn.entrySet()) {
            text = text.replace("{" + piece.getKey() + "}", hex(piece.getValue()));
        }
        return bytes(text);
    }

    /** Where folders stand that an earlier build wrote. */
    public static Path folder(String name) {
        return FOLDER.resolve(name);
    }

    /** Whether files are written anew in this run. */
    public static boolean writes() {
        return WRITES;
    }

    public static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                Path copy = to.resolve(from.relativize(file).toString());
                Files.createDirectories(copy.getParent());
                Files.write(copy, Files.readAllBytes(file));
            }
        }
    }
}
