package tinlink.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Guards against unintended changes of decisions. The test plays simulated inputs from fixed seeds, and
 * compares every decision, with its order, time and random choices, to a stored transcript that has a digest
 * for each block of lookups. After an intended change, the new digests are in
 * {@code target/decision-transcript/digests.txt}. The lines of each play are in the same directory, to be
 * compared with those of the previous build.
 */
class DecisionTranscriptTest {
    private static final String STORED = "/decision/transcript.txt";
    private static final Path OUTPUT = Path.of("target", "decision-transcript");
    private static final int LOOKUPS_PER_PLAY = 800;
    private static final int RANDOM_PLAYS = 24;

    /** All settings that the scenario files use. */
    private static final List<String> SCENARIO_SETTINGS = List.of(
            "",
            "asks 1 mustask 16000000",
            "bundle 2 call 200000",
            "cells 2 reach 1 group 1",
            "cells 2 reach 1 group 2",
            "cells 2 reach 1 group 3",
            "cells 4 reach 2",
            "retry 2000000",
            "copies 0",
            "group 3",
            "lookback 1000000 free 0 ratio 0.5",
            "lookback 1000000 free 1 ratio 0.1",
            "tries 2",
            "tries 3",
            "zone 1 cross 0.02");

    /**
     * Idle connections that are dropped without notice, which needs data nodes that are seldom used; in the
     * last line, calls with a high fixed cost.
     */
    private static final List<String> IDLE_CONNECTION_SETTINGS = List.of(
            "nodes 12 load 0.02 rough 0 idle 1500000",
            "nodes 12 load 0.03 rough 1 idle 900000 copies 0",
            "nodes 24 load 0.02 rough 0 idle 700000 cells 12 reach 2",
            "nodes 16 load 0.02 rough 0 idle 2500000",
            "nodes 24 load 0.001 rough 0 idle 12000000",
            "nodes 4 load 0.2 service 10000 bundle 4 call 200000");

    private static Map<String, PlayedSettings> plays() {
        Map<String, PlayedSettings> all = new LinkedHashMap<>();
        for (int i = 0; i < SCENARIO_SETTINGS.size(); i++) {
            all.put("scenario-" + i, new PlayedSettings(SCENARIO_SETTINGS.get(i)));
        }
        for (int i = 0; i < IDLE_CONNECTION_SETTINGS.size(); i++) {
            all.put("idle-" + i, new PlayedSettings(IDLE_CONNECTION_SETTINGS.get(i)));
        }
        for (int i = 0; i < RANDOM_PLAYS; i++) {
            all.put("drawn-" + i, PlayedSettings.random(9000 + i));
        }
        return all;
    }

    @Test
    void everyDecisionMatchesTheTranscript() throws IOException {
        List<String> stored = stored();
        List<String> played = new ArrayList<>();
        Map<String, String> lines = new LinkedHashMap<>();
        long seed = 1;
        for (Map.Entry<String, PlayedSettings> play : plays().entrySet()) {
            Transcript transcript = new Transcript();
            new RecordedPlay(play.getValue(), seed++, transcript).play(LOOKUPS_PER_PLAY);
            List<String> blocks = transcript.blocks();
            for (int i = 0; i < blocks.size(); i++) {
                played.add(play.getKey() + " " + i + " " + blocks.get(i));
            }
            lines.put(play.getKey(), transcript.text());
        }
        if (!stored.equals(played)) {
            writeOutput(played, lines);
        }
        for (int i = 0; i < Math.min(stored.size(), played.size()); i++) {
            assertEquals(
                    stored.get(i),
                    played.get(i),
                    "first block (play, block, lines, digest) that differs; lines of all plays are in "
                            + OUTPUT);
        }
        assertEquals(stored.size(), played.size(), "number of blocks");
    }

    /** Checks that the digests show even a small change of a setting or of the random seed. */
    @Test
    void aChangedSettingChangesTheDigests() {
        String settings = "rough 2 lookback 1000000 free 1 ratio 0.1 cells 2";
        String digests = digests(settings);
        assertEquals(digests, digests(settings));
        assertNotEquals(digests, digests(settings + " ratio 0.101"));
        assertNotEquals(digests, digests(settings + " seed 8"));
        assertNotEquals(digests, digests(settings + " tries 5"));
    }

    private static String digests(String settings) {
        Transcript transcript = new Transcript();
        new RecordedPlay(new PlayedSettings(settings), 77, transcript).play(LOOKUPS_PER_PLAY);
        return String.join("\n", transcript.blocks());
    }

    private static List<String> stored() throws IOException {
        try (InputStream stream = DecisionTranscriptTest.class.getResourceAsStream(STORED)) {
            assertNotNull(stream, STORED);
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    private static void writeOutput(List<String> played, Map<String, String> lines)
            throws IOException {
        Files.createDirectories(OUTPUT);
        Files.write(OUTPUT.resolve("digests.txt"), played);
        for (Map.Entry<String, String> play : lines.entrySet()) {
            Files.writeString(OUTPUT.resolve(play.getKey() + ".txt"), play.getValue());
        }
    }
}
