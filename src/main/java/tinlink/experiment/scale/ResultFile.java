package tinlink.experiment.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The saved measurements of one run. {@code docs/CAPACITY.md} is written from such files alone, which lie in
 * {@code docs/measured/scale/}.
 *
 * @param day the day of the run, for example {@code 2026-12-02}
 * @param seed the seed of the run
 * @param cores processor cores of the machine
 * @param notes what has to be known to read the values: shortened runs, loads, failures
 * @param measurements what was measured
 */
public record ResultFile(
        String day, long seed, int cores, List<String> notes, List<Measurement> measurements) {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Copies the lists. */
    public ResultFile {
        notes = List.copyOf(notes);
        measurements = List.copyOf(measurements);
    }

    /** Writes the file, in place of one that is there. */
    public void save(Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, JSON.writeValueAsString(this) + "\n");
    }

    /** Reads one file. */
    public static ResultFile load(Path file) throws IOException {
        return JSON.readValue(Files.readString(file), ResultFile.class);
    }

    /** Reads all files of a folder, in the order of their names. */
    public static List<ResultFile> loadAll(Path folder) throws IOException {
        List<ResultFile> all = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path file :
                    files.filter(f -> f.toString().endsWith(".json")).sorted().toList()) {
                all.add(load(file));
            }
        }
        return all;
    }
}
