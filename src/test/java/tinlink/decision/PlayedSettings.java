package tinlink.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Settings of one recorded play: "key value ..." over the defaults, as in scenario files, and their
 * module.
 */
final class PlayedSettings {
    private static final String DEFAULTS = "step 1000 tries 4 copies 1 cancel 1 cells 1 reach 1"
            + " bundle 1 call 0 zone 0 cross 0 seed 7 group 1 start 0.2 cold 10000000 multiple 2"
            + " fall 2000000 lookback 0 free 0 ratio 0 open 100 retry 0 asks 0 mustask 1000000"
            + " nodes 4 cores 2 service 60000 load 0.3 rough 1 idle 0";

    private final Map<String, String> figures = new HashMap<>();

    PlayedSettings(String text) {
        put(DEFAULTS);
        put(text);
    }

    /** Drawn from a seed, over all that the module can be set to. */
    static PlayedSettings drawn(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder("seed ").append(random.nextInt(1000));
        choice(text, random, "step", "1000", "1000", "5000", "10000");
        choice(text, random, "tries", "1", "2", "3", "4", "6");
        choice(text, random, "copies", "1", "1", "0");
        choice(text, random, "cancel", "1", "1", "0");
        choice(text, random, "cells", "1", "2", "3", "6", "12");
        choice(text, random, "reach", "1", "2", "3");
        choice(text, random, "bundle", "1", "2", "4");
        choice(text, random, "call", "0", "5000", "200000");
        choice(text, random, "zone", "0", "1", "2");
        choice(text, random, "cross", "0", "0", "0.02", "0.3");
        choice(text, random, "group", "1", "3", "20", "200");
        choice(text, random, "start", "0.05", "0.2", "0.6");
        choice(text, random, "cold", "4000000", "15000000");
        choice(text, random, "multiple", "1", "2", "4");
        choice(text, random, "fall", "0", "500000", "3000000");
        choice(text, random, "lookback", "0", "0", "1000000", "10000000");
        choice(text, random, "free", "0", "3", "20");
        choice(text, random, "ratio", "0.05", "0.1", "0.5");
        choice(text, random, "open", "20", "100", "1000");
        choice(text, random, "retry", "0", "300000", "2000000");
        choice(text, random, "asks", "0", "1");
        choice(text, random, "mustask", "1000000", "16000000");
        choice(text, random, "nodes", "2", "4", "8", "16", "24");
        choice(text, random, "cores", "1", "2", "4");
        choice(text, random, "service", "10000", "60000", "150000");
        choice(text, random, "load", "0.02", "0.1", "0.3", "0.3", "0.6", "0.9", "2");
        choice(text, random, "rough", "0", "1", "1", "2", "3");
        choice(text, random, "idle", "0", "0", "400000", "1500000");
        return new PlayedSettings(text.toString());
    }

    private static void choice(
            StringBuilder target, SplittableRandom random, String key, String... choices) {
        target.append(' ').append(key).append(' ').append(choices[random.nextInt(choices.length)]);
    }

    private void put(String text) {
        String[] words = text.isEmpty() ? new String[0] : text.split(" ");
        for (int i = 0; i < words.length; i += 2) {
            figures.put(words[i], words[i + 1]);
        }
    }

    long whole(String key) {
        return Long.parseLong(figures.get(key));
    }

    boolean yes(String key) {
        return whole(key) != 0;
    }

    private int small(String key) {
        return Math.toIntExact(whole(key));
    }

    double number(String key) {
        return Double.parseDouble(figures.get(key));
    }

    /** @param longestSoftUs the longest latency objective of all classes */
    QueryCoordinator module(long longestSoftUs) {
        AttemptTiming timing = new AttemptTiming(whole("step"));
        ReplicaHealth health = new ReplicaHealth(longestSoftUs);
        SlowStart slowStart = new SlowStart(
                whole("seed"),
                small("group"),
                number("start"),
                whole("cold"),
                number("multiple"),
                whole("fall"),
                health);
        return new FastestValidCoordinator(
                timing,
                new RepeatGuard(timing, small("tries"), yes("copies"), yes("cancel")),
                new ReplicaSelector(
                        new ReplicaDirectory(small("cells"), small("reach"), health),
                        slowStart,
                        new CallSharing(small("bundle"), whole("call")),
                        small("zone"),
                        number("cross"),
                        health),
                health,
                new RetryBudget(whole("lookback"), number("free"), number("ratio"), small("open")),
                new AdmissionController(whole("seed"), whole("retry")),
                new EndpointListPoller(whole("seed"), yes("asks"), whole("mustask")));
    }
}
