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
 * Plays recorded inputs from fixed seeds and holds every decision, with its order, its time and
 * what chance chose, against a stored transcript: a digest for each block of lookups. What this
 * test finds is a change of decisions. Where one is meant, the new digests lie in
 * {@code target/decision-transcript/digests.txt}, and the lines of each play beside it, to be
 * compared with those of the build before.
 */
class DecisionTranscriptTest {
    private static final String STORED = "/decision/transcript.txt";
    private static final Path LINES = Path.of("target", "decision-transcript");
    private static final int LOOKUPS = 800;
    private static final int DRAWN = 24;

    /** All settings that the scenario files use. */
    private static final List<String> OF_SCENARIOS = List.of(
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

    /** Connections dropped unseen, which takes nodes that are seldom used; calls that cost much. */
    private static final List<String> OF_IDLE_CONNECTIONS = List.of(
            "nodes 12 load 0.02 rough 0 idle 1500000",
            "nodes 12 load 0.03 rough 1 idle 900000 copies 0",
            "nodes 24 load 0.02 rough 0 idle 700000 cells 12 reach 2",
            "nodes 16 load 0.02 rough 0 idle 2500000",
            "nodes 24 load 0.001 rough 0 idle 12000000",
            "nodes 4 load 0.2 service 10000 bundle 4 call 200000");

    private static Map<String, PlayedSettings> plays() {
        Map<String, PlayedSettings> all = new LinkedHashMap<>();
        for (int i = 0; i < OF_SCENARIOS.size(); i++) {
            all.put("scenario-" + i, new PlayedSettings(OF_SCENARIOS.get(i)));
        }
        for (int i = 0; i < OF_IDLE_CONNECTIONS.size(); i++) {
            all.put("idle-" + i, new PlayedSettings(OF_IDLE_CONNECTIONS.get(i)));
        }
        for (int i = 0; i < DRAWN; i++) {
            all.put("drawn-" + i, PlayedSettings.drawn(9000 + i));
        }
        return all;
    }

    @Test
    void everyDecisionIsAsRecorded() throws IOException {
        List<String> stored = stored();
        List<String> played = new ArrayList<>();
        Map<String, String> lines = new LinkedHashMap<>();
        long seed = 1;
        for (Map.Entry<String, PlayedSettings> play : plays().entrySet()) {
            Transcript transcript = new Transcript();
            new RecordedPlay(play.getValue(), seed++, transcript).play(LOOKUPS);
            List<String> blocks = transcript.blocks();
            for (int i = 0; i < blocks.size(); i++) {
                played.add(play.getKey() + " " + i + " " + blocks.get(i));
            }
            lines.put(play.getKey(), transcript.text());
        }
        if (!stored.equals(played)) {
            keep(played, lines);
        }
        for (int i = 0; i < Math.min(stored.size(), played.size()); i++) {
            assertEquals(
                    stored.get(i),
                    played.get(i),
                    "the first block (play, block, lines, digest) to differ; lines in " + LINES);
        }
        assertEquals(stored.size(), played.size(), "blocks");
    }

    /** The check itself: the least change of a setting or of the seed of chance is seen. */
    @Test
    void aChangedSettingIsSeen() {
        String settings = "rough 2 lookback 1000000 free 1 ratio 0.1 cells 2";
        String digests = digests(settings);
        assertEquals(digests, digests(settings));
        assertNotEquals(digests, digests(settings + " ratio 0.101"));
        assertNotEquals(digests, digests(settings + " seed 8"));
        assertNotEquals(digests, digests(settings + " tries 5"));
    }

    private static String digests(String settings) {
        Transcript transcript = new Transcript();
        new RecordedPlay(new PlayedSettings(settings), 77, transcript).play(LOOKUPS);
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

    private static void keep(List<String> played, Map<String, String> lines) throws IOException {
        Files.createDirectories(LINES);
        Files.write(LINES.resolve("digests.txt"), played);
        for (Map.Entry<String, String> play : lines.entrySet()) {
            Files.writeString(LINES.resolve(play.getKey() + ".txt"), play.getValue());
        }
    }
}
