package tinlink.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import tinlink.GoldenFile;
import tinlink.storage.DurableLog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Guards the format of the stored identity: a router must read the records of earlier builds. */
class IdentityGoldenFilesTest {
    @TempDir
    Path folder;

    private static String hexOfLast(List<byte[]> records) {
        return GoldenFile.hex(records.get(records.size() - 1));
    }

    private DurableLog openLog(Path dataFolder) throws IOException {
        return new DurableLog(dataFolder.resolve("self"), 1 << 16);
    }

    private String lastRecord(Path dataFolder) throws IOException {
        try (DurableLog log = openLog(dataFolder)) {
            return hexOfLast(log.recoveredRecords());
        }
    }

    @Test
    void readsAndWritesTheRecordsOfEarlierBuilds() throws Exception {
        Map<String, String> records = new LinkedHashMap<>();
        try (Identity first = new Identity(folder.resolve("first"), "r1")) {
            assertTrue(first.firstStart);
        }
        byte[] record = GoldenFile.bytes(lastRecord(folder.resolve("first")));
        records.put("first-start", GoldenFile.hex(record, new GoldenFile.Drawn("disk", 8, 8)));
        Map<String, byte[]> disk = Map.of("disk", GoldenFile.bytes("1234567890abcdef"));
        Path again = folder.resolve("again");
        writeRecord(again, GoldenFile.bytes(records.get("first-start"), disk));
        try (Identity second = new Identity(again, "r1")) {
            assertRestarted(second, 2, false);
        }
        records.put("second-start", lastRecord(again));
        try (Identity third = new Identity(again, "r1")) {
            assertRestarted(third, 3, false);
            third.replaceLostDisk(20);
            assertTrue(third.replacesLostDisk());
        }
        records.put("stands-for-a-lost-disk", lastRecord(again));
        String file = "identity-records.txt";
        GoldenFile.holds(file, "Records of who a router is, in hex.", records);

        Map<String, String> golden = GoldenFile.read(file);
        Path later = folder.resolve("later");
        writeRecord(later, GoldenFile.bytes(golden.get("second-start")));
        try (Identity third = new Identity(later, "r1")) {
            assertRestarted(third, 3, false);
        }
        Path replaced = folder.resolve("lost");
        writeRecord(replaced, GoldenFile.bytes(golden.get("stands-for-a-lost-disk")));
        try (Identity after = new Identity(replaced, "r1")) {
            assertRestarted(after, 21, true);
        }
    }

    private void writeRecord(Path dataFolder, byte[] record) throws IOException {
        try (DurableLog log = openLog(dataFolder)) {
            log.append(record);
            log.sync();
        }
    }

    private static void assertRestarted(Identity identity, long starts, boolean replaced) {
        assertFalse(identity.firstStart);
        assertEquals("r1", identity.incarnation.router());
        assertEquals(starts, identity.incarnation.startCount());
        assertEquals(0x1234567890abcdefL, identity.diskId);
        assertEquals(replaced, identity.replacesLostDisk());
    }
}
