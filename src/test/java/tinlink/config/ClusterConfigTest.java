package tinlink.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Reads the cluster and maintenance files; an error message names the invalid key. */
class ClusterConfigTest {
    @TempDir
    Path folder;

    private RouterConfig read(String peersFrom, String peersTo, String workFrom, String workTo)
            throws IOException {
        String peers = Files.readString(Path.of("deploy/peers.json5"));
        String work = Files.readString(Path.of("deploy/work.json5"));
        assertTrue(
                peers.contains(peersFrom) && work.contains(workFrom),
                "the shipped file has changed");
        Path peersFile =
                Files.writeString(folder.resolve("peers.json5"), peers.replace(peersFrom, peersTo));
        Path workFile =
                Files.writeString(folder.resolve("work.json5"), work.replace(workFrom, workTo));
        return new RouterConfig(Map.of(
                "NODE_CONFIG",
                "deploy/example.json",
                "NODE_PEERS",
                peersFile.toString(),
                "NODE_WORK",
                workFile.toString()));
    }

    @Test
    void shippedFilesAreValidAndARouterThatNamesItselfIsNotItsOwnPeer() throws IOException {
        RouterConfig config = read("r1", "r1", "z1", "z1");
        assertEquals("r1", config.cluster.router);
        assertEquals(4, config.cluster.peers.size());
        assertEquals("north", config.maintenance.siteByZone.get("z2"));
        assertEquals(10_000_000, config.maintenance.slowStartUs);
        assertEquals(256, config.cluster.maxMembers);
        assertEquals(16, config.cluster.maxUnauthenticatedConnections);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "voters: [\"r1\", \"r2\", \"r3\", \"r4\", \"r5\"] | voters: []"
                        + " | 'voters' is no list of 3, 5 or 7",
                "voters: [\"r1\", | voters: [\"r9\", | 'voters' names a router that 'peers' does not: r9",
                "use_key: \"2026-12\" | use_key: \"other\" | 'use_key' is none of 'keys': other",
                "cluster: \"main\" | cluster: \"a b\" | 'cluster' is no name",
                "listen: \"127.0.0.1:7301\" | listen: \"somewhere\" | 'listen' is no address with a port",
                "helpers: 3 | helpers: 99 | 'helpers' is no number from 0 to 16",
                "helpers: 3 | helpers: 3, strangers: 0 | 'strangers' is no number from 1 to 4096",
                "round_ms: 500 | rounds_ms: 500 | 'rounds_ms' is not known here"
            })
    void invalidClusterKeyIsNamed(String from, String to, String expectedMessage)
            throws IOException {
        InvalidInputException e =
                assertThrows(InvalidInputException.class, () -> read(from, to, "z1", "z1"));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "south: [\"z3\"] | south: [\"z1\"] | 'sites.south' has a zone that another site has too: z1",
                "zone_share: 0.5 | zone_share: 1.5 | 'bounds.zone_share' is no number from 0 to 1",
                "old_ms: 5000 | old_ms: 600 | 'watch.old_ms' is under three times report_ms",
                "127.0.0.1:7401 | 0.0.0.0:7401 | 'control.listen' is not on loopback",
                "change-me-to-a-token | short | 'control.token' is missing or under 16"
            })
    void invalidMaintenanceKeyIsNamed(String from, String to, String expectedMessage)
            throws IOException {
        InvalidInputException e =
                assertThrows(InvalidInputException.class, () -> read("r1", "r1", from, to));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void clusterAndMaintenanceFilesGoTogether() {
        InvalidInputException e = assertThrows(
                InvalidInputException.class,
                () -> new RouterConfig(Map.of(
                        "NODE_CONFIG", "deploy/example.json", "NODE_WORK", "deploy/work.json5")));
        assertEquals("environment: 'NODE_PEERS' and 'NODE_WORK' go together", e.getMessage());
    }
}
