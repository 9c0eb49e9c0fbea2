package tinlink.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The settings of one recorded play, in the notation "key value ..." of the scenario files, and the decision
 * module with these settings. Keys that are left out have a default.
 */
final class PlayedSettings {
    private static final String DEFAULTS = "step 1000 tries 4 copies 1 cancel 1 cells 1 reach 1"
            + " bundle 1 call 0 zone 0 cross 0 seed 7 group 1 start 0.2 cold 10000000 multiple 2"
            + " fall 2000000 lookback 0 free 0 ratio 0 open 100 retry 0 asks 0 mustask 1000000"
            + " nodes 4 cores 2 service 60000 load 0.3 rough 1 idle 0";

    private final Map<String, String> values = new HashMap<>();

    PlayedSettings(String text) {
        put(DEFAULTS);
        put(text);
    }

    /** Chooses all settings at random, from the given seed. */
    static PlayedSettings random(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder("seed ").append(random.nextInt(1000));
        choose(text, random, "step", "1000", "1000", "5000", "10000");
        choose(text, random, "tries", "1", "2", "3", "4", "6");
        choose(text, random, "copies", "1", "1", "0");
        choose(text, random, "cancel", "1", "1", "0");
        choose(text, random, "cells", "1", "2", "3", "6", "12");
        choose(text, random, "reach", "1", "2", "3");
        choose(text, random, "bundle", "1", "2", "4");
        choose(text, random, "call", "0", "5000", "200000");
        choose(text, random, "zone", "0", "1", "2");
        choose(text, random, "cross", "0", "0", "0.02", "0.3");
        choose(text, random, "group", "1", "3", "20", "200");
        choose(text, random, "start", "0.05", "0.2", "0.6");
        choose(text, random, "cold", "4000000", "15000000");
        choose(text, random, "multiple", "1", "2", "4");
        choose(text, random, "fall", "0", "500000", "3000000");
        choose(text, random, "lookback", "0", "0", "1000000", "10000000");
        choose(text, random, "free", "0", "3", "20");
        choose(text, random, "ratio", "0.05", "0.1", "0.5");
        choose(text, random, "open", "20", "100", "1000");
        choose(text, random, "retry", "0", "300000", "2000000");
        choose(text, random, "asks", "0", "1");
        choose(text, random, "mustask", "1000000", "16000000");
        choose(text, random, "nodes", "2", "4", "8", "16", "24");
        choose(text, random, "cores", "1", "2", "4");
        choose(text, random, "service", "10000", "60000", "150000");
        choose(text, random, "load", "0.02", "0.1", "0.3", "0.3", "0.6", "0.9", "2");
        choose(text, random, "rough", "0", "1", "1", "2", "3");
        choose(text, random, "idle", "0", "0", "400000", "1500000");
        return new PlayedSettings(text.toString());
    }

    private static void choose(
            StringBuilder target, SplittableRandom random, String key, String... choices) {
        target.append(' ').append(key).append(' ').append(choices[random.nextInt(choices.length)]);
    }

    private void put(String text) {
        String[] tokens = text.isEmpty() ? new String[0] : text.split(" ");
        for (int i = 0; i < tokens.length; i += 2) {
            values.put(tokens[i], tokens[i + 1]);
        }
    }

    long longValue(String key) {
        return Long.parseLong(values.get(key));
    }

    boolean flag(String key) {
        return longValue(key) != 0;
    }

    private int intValue(String key) {
        return Math.toIntExact(longValue(key));
    }

    double doubleValue(String key) {
        return Double.parseDouble(values.get(key));
    }

    /**
     * Creates the decision module with these settings.
     *
     * @param longestObjectiveUs the longest latency objective of all lookup classes
     */
    QueryCoordinator createModule(long longestObjectiveUs) {
        AttemptTiming timing = new AttemptTiming(longValue("step"));
        ReplicaHealth health = new ReplicaHealth(longestObjectiveUs);
        SlowStart slowStart = new SlowStart(
                longValue("seed"),
                intValue("group"),
                doubleValue("start"),
                longValue("cold"),
                doubleValue("multiple"),
                longValue("fall"),
                health);
        return new FastestValidCoordinator(
                timing,
                new RepeatGuard(timing, intValue("tries"), flag("copies"), flag("cancel")),
                new ReplicaSelector(
                        new ReplicaDirectory(intValue("cells"), intValue("reach"), health),
                        slowStart,
                        new CallSharing(intValue("bundle"), longValue("call")),
                        intValue("zone"),
                        doubleValue("cross"),
                        health),
                health,
                new RetryBudget(
                        longValue("lookback"),
                        doubleValue("free"),
                        doubleValue("ratio"),
                        intValue("open")),
                new AdmissionController(longValue("seed"), longValue("retry")),
                new EndpointListPoller(longValue("seed"), flag("asks"), longValue("mustask")));
    }
}
