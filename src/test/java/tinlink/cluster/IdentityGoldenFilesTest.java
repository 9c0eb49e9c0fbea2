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

/** Who a router is, as its folder says it, byte for byte as earlier builds wrote it. */
class IdentityGoldenFilesTest {
    @TempDir
    Path folder;

    private static String hex(List<byte[]> records) {
        return GoldenFile.hex(records.get(records.size() - 1));
    }

    private DurableLog self(Path at) throws IOException {
        return new DurableLog(at.resolve("self"), 1 << 16);
    }

    private String lastRecord(Path at) throws IOException {
        try (DurableLog log = self(at)) {
            return hex(log.recoveredRecords());
        }
    }

    @Test
    void identitiesAreWrittenAndReadAsTheyWere() throws Exception {
        Map<String, String> all = new LinkedHashMap<>();
        try (Identity first = new Identity(folder.resolve("first"), "r1")) {
            assertTrue(first.isFirstStart);
        }
        byte[] record = GoldenFile.bytes(lastRecord(folder.resolve("first")));
        all.put("first-start", GoldenFile.hex(record, new GoldenFile.Drawn("disk", 8, 8)));
        Map<String, byte[]> disk = Map.of("disk", GoldenFile.bytes("1234567890abcdef"));
        Path again = folder.resolve("again");
        place(again, GoldenFile.bytes(all.get("first-start"), disk));
        try (Identity second = new Identity(again, "r1")) {
            is(second, 2, false);
        }
        all.put("second-start", lastRecord(again));
        try (Identity third = new Identity(again, "r1")) {
            is(third, 3, false);
            third.replaceLostDisk(20);
            assertTrue(third.replacesLostDisk());
        }
        all.put("stands-for-a-lost-disk", lastRecord(again));
        String file = "identity-records.txt";
        GoldenFile.holds(file, "Records of who a router is, in hex.", all);

        Map<String, String> golden = GoldenFile.read(file);
        Path later = folder.resolve("later");
        place(later, GoldenFile.bytes(golden.get("second-start")));
        try (Identity third = new Identity(later, "r1")) {
            is(third, 3, false);
        }
        Path lost = folder.resolve("lost");
        place(lost, GoldenFile.bytes(golden.get("stands-for-a-lost-disk")));
        try (Identity after = new Identity(lost, "r1")) {
            is(after, 21, true);
        }
    }

    private void place(Path at, byte[] record) throws IOException {
        try (DurableLog log = self(at)) {
            log.append(record);
            log.sync();
        }
    }

    private static void is(Identity identity, long starts, boolean lost) {
        assertFalse(identity.isFirstStart);
        assertEquals("r1", identity.incarnation.router());
        assertEquals(starts, identity.incarnation.startCount());
        assertEquals(0x1234567890abcdefL, identity.diskId);
        assertEquals(lost, identity.replacesLostDisk());
    }
}
