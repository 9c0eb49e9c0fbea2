package tinlink.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Tests the durable log with a write torn at any byte, corrupt files, a crash during a snapshot, a
 * full log and a directory that is already open.
 */
class DurableLogTest {
    @TempDir
    Path directory;

    private DurableLog open() throws IOException {
        return new DurableLog(directory, 1 << 20);
    }

    private static byte[] record(int number) {
        return ("record " + number + " ".repeat(number % 5)).getBytes(StandardCharsets.UTF_8);
    }

    private void writeRecords(int first, int end) throws IOException {
        try (DurableLog durableLog = open()) {
            for (int i = first; i < end; i++) {
                durableLog.append(record(i));
            }
            durableLog.sync();
        }
    }

    private static void assertRecords(List<byte[]> records, int first, int end) {
        assertEquals(end - first, records.size());
        for (int i = first; i < end; i++) {
            assertArrayEquals(record(i), records.get(i - first));
        }
    }

    @Test
    void syncedRecordsAreRecovered() throws IOException {
        writeRecords(0, 7);
        writeRecords(7, 9);
        try (DurableLog durableLog = open()) {
            assertNull(durableLog.recoveredSnapshot());
            assertRecords(durableLog.recoveredRecords(), 0, 9);
            durableLog.writeSnapshot(record(99));
            durableLog.append(record(9));
            durableLog.sync();
            durableLog.append(record(10)); // Never synced, so it may be lost.
        }
        try (DurableLog durableLog = open()) {
            assertArrayEquals(record(99), durableLog.recoveredSnapshot());
            assertRecords(durableLog.recoveredRecords(), 9, 10);
        }
    }

    @Test
    void tornTailIsTruncatedAtAnyByte() throws IOException {
        writeRecords(0, 4);
        Path logFile = directory.resolve("log-0");
        byte[] original = Files.readAllBytes(logFile);
        int[] recordEnds = new int[5];
        recordEnds[0] = RecordFraming.HEADER_BYTES + 4;
        for (int i = 0; i < 4; i++) {
            recordEnds[i + 1] = recordEnds[i] + RecordFraming.HEADER_BYTES + record(i).length;
        }
        for (int length = 0; length < original.length; length++) {
            Files.write(logFile, Arrays.copyOf(original, length));
            int completeRecords = 0;
            while (completeRecords < 4 && recordEnds[completeRecords + 1] <= length) {
                completeRecords++;
            }
            try (DurableLog durableLog = open()) {
                assertRecords(durableLog.recoveredRecords(), 0, completeRecords);
                durableLog.append(record(completeRecords));
                durableLog.sync();
            }
            try (DurableLog durableLog = open()) {
                assertRecords(durableLog.recoveredRecords(), 0, completeRecords + 1);
            }
        }
    }

    @Test
    void trailingZerosAreATornTail() throws IOException {
        writeRecords(0, 3);
        Path logFile = directory.resolve("log-0");
        byte[] original = Files.readAllBytes(logFile);
        Files.write(logFile, Arrays.copyOf(original, original.length + 4096));
        try (DurableLog durableLog = open()) {
            assertRecords(durableLog.recoveredRecords(), 0, 3);
            assertEquals(4096, durableLog.tornBytes());
        }
    }

    @Test
    void corruptionBeforeOtherRecordsIsReportedWithFileAndOffset() throws IOException {
        writeRecords(0, 4);
        Path logFile = directory.resolve("log-0");
        byte[] original = Files.readAllBytes(logFile);
        int secondRecordOffset =
                RecordFraming.HEADER_BYTES + 4 + RecordFraming.HEADER_BYTES + record(0).length;
        for (int offset = 0;
                offset < original.length - RecordFraming.HEADER_BYTES - record(3).length;
                offset++) {
            byte[] corrupted = original.clone();
            corrupted[offset] ^= 0x10;
            Files.write(logFile, corrupted);
            CorruptLogException exception =
                    assertThrows(CorruptLogException.class, this::open, "byte " + offset);
            assertTrue(exception.getMessage().contains("log-0 at byte "), exception.getMessage());
            assertArrayEquals(corrupted, Files.readAllBytes(logFile), "not modified");
        }
        byte[] corrupted = original.clone();
        corrupted[secondRecordOffset + 5] ^= 1;
        Files.write(logFile, corrupted);
        CorruptLogException exception = assertThrows(CorruptLogException.class, this::open);
        assertEquals(secondRecordOffset, exception.offset());
        assertEquals(logFile.toString(), exception.path());
        assertTrue(exception.getMessage().contains("byte " + secondRecordOffset));
    }

    @Test
    void corruptSnapshotIsRejected() throws IOException {
        writeRecords(0, 4);
        try (DurableLog durableLog = open()) {
            durableLog.writeSnapshot(record(50));
        }
        Path snapshotFile = directory.resolve("snap-4");
        byte[] original = Files.readAllBytes(snapshotFile);
        for (int offset = 0; offset < original.length; offset++) {
            byte[] corrupted = original.clone();
            corrupted[offset] ^= 1;
            Files.write(snapshotFile, corrupted);
            assertThrows(CorruptLogException.class, this::open);
        }
        Files.write(snapshotFile, original);
        Files.delete(directory.resolve("log-4"));
        try (DurableLog durableLog = open()) {
            // The process may have ended before it created the log file that follows the snapshot.
            assertArrayEquals(record(50), durableLog.recoveredSnapshot());
        }
    }

    /**
     * After a crash at any step of writing a snapshot, either the old or the new state is
     * recovered, never a mixture of both.
     */
    @Test
    void crashAtAnyStepOfASnapshotLeavesOneCompleteState() throws IOException {
        writeRecords(0, 4);
        byte[] oldLogContent = Files.readAllBytes(directory.resolve("log-0"));
        Files.write(directory.resolve("snap-4.new"), new byte[] {1, 2, 3});
        try (DurableLog durableLog = open()) {
            assertRecords(durableLog.recoveredRecords(), 0, 4);
            durableLog.writeSnapshot(record(7));
        }
        // The process may have ended before it deleted the old log file.
        Files.write(directory.resolve("log-0"), oldLogContent);
        try (DurableLog durableLog = open()) {
            assertArrayEquals(record(7), durableLog.recoveredSnapshot());
            assertEquals(List.of(), durableLog.recoveredRecords());
        }
        assertTrue(Files.notExists(directory.resolve("log-0")));
        Files.delete(directory.resolve("snap-4"));
        assertThrows(CorruptLogException.class, this::open, "the first records are missing");
    }

    @Test
    void fullLogFailsPermanently() throws IOException {
        try (DurableLog durableLog = new DurableLog(directory, 200)) {
            durableLog.append(record(0));
            durableLog.sync();
            durableLog.append(new byte[300]);
            LogFullException full = assertThrows(LogFullException.class, durableLog::sync);
            assertEquals(200, full.maxBytes());
            assertEquals(RecordFraming.HEADER_BYTES + 300, full.addedBytes());
            assertThrows(
                    LogFailedException.class,
                    durableLog::sync,
                    "a repeated sync must not succeed after data may have been lost");
            assertThrows(LogFailedException.class, () -> durableLog.append(record(1)));
        }
        try (DurableLog durableLog = open()) {
            assertRecords(durableLog.recoveredRecords(), 0, 1);
        }
    }

    @Test
    void secondOpenOfTheDirectoryIsRejected() throws IOException {
        try (DurableLog durableLog = open()) {
            LogLockedException locked = assertThrows(LogLockedException.class, this::open);
            assertEquals(directory.toString(), locked.path());
            assertTrue(locked.getMessage().contains("another process"), locked.getMessage());
            durableLog.append(record(0));
            durableLog.sync();
        }
        open().close();
    }
}
