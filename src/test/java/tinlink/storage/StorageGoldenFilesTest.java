package tinlink.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import tinlink.GoldenFile;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Compares the files of the durable log byte for byte with golden files that earlier builds have
 * written.
 */
class StorageGoldenFilesTest {
    private static final String FILE = "storage-files.txt";
    private static final byte[] STATE = "all that came before é".getBytes(StandardCharsets.UTF_8);

    @TempDir
    Path directory;

    private DurableLog open(String logName) throws IOException {
        return new DurableLog(directory.resolve(logName), 1 << 20);
    }

    private String hexOfFile(String logName, String file) throws IOException {
        return GoldenFile.hex(Files.readAllBytes(directory.resolve(logName).resolve(file)));
    }

    private static byte[] record(int number) {
        byte[] record = new byte[number * number * 25];
        for (int i = 0; i < record.length; i++) {
            record[i] = (byte) (number + i * 5);
        }
        return record;
    }

    private List<String> fileNames(String logName) throws IOException {
        try (Stream<Path> files = Files.list(directory.resolve(logName))) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Test
    void filesAreWrittenAsInTheGoldenFile() throws IOException {
        Map<String, String> all = new LinkedHashMap<>();
        try (DurableLog log = open("written")) {
            all.put("segment-without-records", hexOfFile("written", "log-0"));
            for (int i = 0; i < 3; i++) {
                assertEquals(i, log.append(record(i)));
            }
            log.sync();
            all.put("segment-of-three-records", hexOfFile("written", "log-0"));
            log.writeSnapshot(STATE);
            all.put("snapshot-after-three-records", hexOfFile("written", "snap-3"));
            log.append(record(3));
            log.sync();
            all.put("segment-after-the-snapshot", hexOfFile("written", "log-3"));
            assertEquals(List.of("lock", "log-3", "snap-3"), fileNames("written"));
        }
        GoldenFile.holds(FILE, "Files of a folder that survives crashes, in hex.", all);
    }

    private void writeGoldenFile(String logName, String file, String record) throws IOException {
        Path path = directory.resolve(logName).resolve(file);
        Files.createDirectories(path.getParent());
        Files.write(path, GoldenFile.bytes(GoldenFile.read(FILE).get(record)));
    }

    @Test
    void goldenFilesAreRecovered() throws IOException {
        writeGoldenFile("empty", "log-0", "segment-without-records");
        try (DurableLog log = open("empty")) {
            assertEquals(List.of(), log.recoveredRecords());
            assertEquals(0, log.nextRecordNumber());
            assertEquals(0, log.tornBytes());
        }
        writeGoldenFile("three", "log-0", "segment-of-three-records");
        try (DurableLog log = open("three")) {
            assertNull(log.recoveredSnapshot());
            assertEquals(3, log.recoveredRecords().size());
            for (int i = 0; i < 3; i++) {
                assertArrayEquals(record(i), log.recoveredRecords().get(i));
            }
            assertEquals(0, log.tornBytes());
            log.writeSnapshot(STATE);
        }
        assertEquals(
                GoldenFile.read(FILE).get("snapshot-after-three-records"),
                hexOfFile("three", "snap-3"));
        writeGoldenFile("both", "snap-3", "snapshot-after-three-records");
        writeGoldenFile("both", "log-3", "segment-after-the-snapshot");
        try (DurableLog log = open("both")) {
            assertArrayEquals(STATE, log.recoveredSnapshot());
            assertEquals(1, log.recoveredRecords().size());
            assertArrayEquals(record(3), log.recoveredRecords().get(0));
            assertEquals(4, log.nextRecordNumber());
            assertEquals(0, log.tornBytes());
        }
    }
}
