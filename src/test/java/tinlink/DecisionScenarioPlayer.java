package tinlink;

import tinlink.decision.AdmissionController;
import tinlink.decision.Attempt;
import tinlink.decision.AttemptTiming;
import tinlink.decision.CallSharing;
import tinlink.decision.DataNode;
import tinlink.decision.DecisionHandler;
import tinlink.decision.EndpointListPoller;
import tinlink.decision.FastestValidCoordinator;
import tinlink.decision.Lookup;
import tinlink.decision.LookupClass;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.QueryCoordinator;
import tinlink.decision.RepeatGuard;
import tinlink.decision.ReplicaDirectory;
import tinlink.decision.ReplicaHealth;
import tinlink.decision.ReplicaSelector;
import tinlink.decision.RetryBudget;
import tinlink.decision.SlowStart;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Plays one scenario against the module; docs/scenarios.md has the notation. */
final class DecisionScenarioPlayer implements DecisionHandler {
    private final Map<String, String> settings = new HashMap<>(Map.of(
            "step", "1", "tries", "4", "copies", "yes", "cancel", "yes", "cells", "1", "reach", "1",
            "bundle", "1", "call", "0", "group", "1"));
    private final Map<String, LookupClass> indexes = new LinkedHashMap<>();
    private final Map<Long, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Lookup> lookups = new HashMap<>();
    private final Map<Object, String> names = new HashMap<>();
    private final Map<String, Part> parts = new HashMap<>();
    private final List<String> unexpectedDecisions = new ArrayList<>();
    private final TreeSet<Long> wakeTimes = new TreeSet<>();
    private QueryCoordinator module;
    private long now;

    void play(List<String> script) {
        int no = 0;
        for (String raw : script) {
            no++;
            String line = raw.replaceAll("#\\s.*|^#.*", "").trim();
            try {
                for (String one : line.isEmpty() ? new String[0] : line.split(";\\s*")) {
                    runStep(one.split("\\s+"));
                }
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError(
                        "line " + no + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
        expectNoDecisionLeft();
    }

    private void runStep(String[] words) {
        switch (words[0]) {
            case "set" -> {
                for (int i = 1; i < words.length; i += 2) {
                    settings.put(words[i], words[i + 1]);
                }
            }
            case "index" -> index(words);
            case "at" -> {
                expectNoDecisionLeft();
                advanceTo((long) (1000 * Double.parseDouble(words[1])));
            }
            case "stall" -> {
                pullDecisions();
                now = ms(words[1]);
                module().advanceClock(now);
            }
            case "=" -> {
                pullDecisions();
                if (words[1].equals("nothing")) {
                    expectNoDecisionLeft();
                } else if (words.length > 2
                        && lookups.containsKey(words[2])
                        && words[1].matches("send|cancel")) {
                    expectAll(words);
                } else {
                    expect(String.join(" ", Arrays.copyOfRange(words, 1, words.length)));
                }
            }
            case "node" -> node(words);
            case "nodes" -> {
                for (int i = 1; i < words.length; i++) {
                    node(new String[] {"node", words[i]});
                }
                module().onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.FULL);
            }
            case "list" ->
                module().onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.valueOf(
                        words[1].toUpperCase(Locale.ROOT)));
            case "lookup" -> {
                Lookup lookup = new Lookup();
                lookup.lookupClass = indexes.get(words[2]);
                lookup.clientDeadlineUs = now + ms(words[4]);
                lookup.isClientRetry = words[words.length - 1].equals("repeat");
                lookup.isForwarded = words[words.length - 1].equals("forwarded");
                lookups.put(words[1], lookup);
                names.put(lookup, words[1]);
                lookup.announcedParts = shards(words).size();
                module().onLookup(lookup);
                takeParts(lookup, words);
            }
            case "more" -> takeParts(lookups.get(words[1]), words);
            case "gone" -> module().onClientGone(lookups.get(words[1]));
            default ->
                end(Outcome.valueOf(words[0].toUpperCase(Locale.ROOT).replace('-', '_')), words[1]);
        }
    }

    private void expect(String want) {
        if (!unexpectedDecisions.remove(want)) {
            throw new AssertionError("expected '" + want + "', left are " + unexpectedDecisions);
        }
    }

    /** "send q 1 2" over and over for all parts of q, or "cancel q" for the first call of each. */
    private void expectAll(String[] words) {
        for (int i = 0; i < lookups.get(words[2]).parts.size(); i++) {
            String part = words[2] + "." + i;
            expect(words[1] + " " + part
                    + (words[1].equals("cancel") ? "#0" : " " + words[3 + i % (words.length - 3)]));
        }
    }

    private void takeParts(Lookup lookup, String[] words) {
        List<String> weights = after(words, "weights");
        List<Integer> shards = shards(words);
        for (int i = 0; i < shards.size(); i++) {
            Part part = new Part();
            part.lookup = lookup;
            part.shard = shards.get(i);
            part.weight =
                    weights.isEmpty() ? 1.0 / shards.size() : Double.parseDouble(weights.get(i));
            String name = names.get(lookup) + (lookup.isSecondStep ? ".b" : ".") + i;
            names.put(part, name);
            parts.put(name, part);
            module().onPart(part);
        }
    }

    private static List<Integer> shards(String[] words) {
        List<Integer> all = new ArrayList<>();
        for (String s : after(words, "shards")) {
            String[] ends = s.split("-", 0);
            for (int i = Integer.parseInt(ends[0]);
                    i <= Integer.parseInt(ends[ends.length - 1]);
                    i++) {
                all.add(i);
            }
        }
        return all;
    }

    private static List<String> after(String[] words, String key) {
        int from = Arrays.asList(words).indexOf(key) + 1;
        int to = from;
        while (from > 0 && to < words.length && Character.isDigit(words[to].charAt(0))) {
            to++;
        }
        return Arrays.asList(words).subList(from, to);
    }

    /**
     * "q" ends every part call that is out of the lookup, "q.0" the last one of a part, "q.0#1"
     * that one.
     */
    private void end(Outcome outcome, String name) {
        if (lookups.containsKey(name)) {
            lookups.get(name).parts.stream()
                    .toList()
                    .forEach(part -> end(outcome, names.get(part)));
            return;
        }
        Part part = parts.get(name.replaceAll("#.*", ""));
        int number = name.contains("#")
                ? Integer.parseInt(name.replaceAll(".*#", ""))
                : part.attempts.size() - 1;
        Attempt c = part.attempts.get(number);
        if (c.outcome != null) {
            throw new AssertionError("that part call is over: " + c.outcome);
        }
        module().onOutcome(c, outcome, now - c.sentAtUs, -1);
    }

    private void index(String[] words) {
        LookupClass lookupClass = new LookupClass();
        lookupClass.latencyObjectiveUs = ms(after(words, "soft").get(0));
        lookupClass.deadlineUs = 10 * lookupClass.latencyObjectiveUs;
        after(words, "window").forEach(t -> lookupClass.deduplicationWindowUs = ms(t));
        after(words, "need").forEach(n -> lookupClass.completeShare = Double.parseDouble(n));
        lookupClass.minimumShare = lookupClass.completeShare;
        after(words, "floor").forEach(n -> lookupClass.minimumShare = Double.parseDouble(n));
        after(words, "second").forEach(n -> lookupClass.secondStepParts = Integer.parseInt(n));
        lookupClass.lateAnswerWeight = Arrays.asList(words).contains("late") ? 0.3 : 0;
        for (LookupClass.Idempotency e : LookupClass.Idempotency.values()) {
            if (Arrays.asList(words)
                    .contains(e.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
                lookupClass.idempotency = e;
            }
        }
        indexes.put(words[1], lookupClass);
    }

    private void node(String[] words) {
        long id = Long.parseLong(words[1]);
        DataNode node = nodes.computeIfAbsent(id, DataNode::new);
        long startedAt = node.startedAtUs;
        after(words, "cell").forEach(c -> node.cell = Integer.parseInt(c));
        after(words, "zone").forEach(z -> node.zone = Integer.parseInt(z));
        after(words, "line").forEach(t -> node.linkRoundTripUs = ms(t));
        after(words, "started").forEach(t -> node.startedAtUs = ms(t));
        String last = words[words.length - 1];
        node.state = last.equals("draining")
                ? DataNode.State.DRAINING
                : last.equals("gone") ? DataNode.State.GONE : DataNode.State.READY;
        module().onEndpoint(node, startedAt != node.startedAtUs && module != null);
    }

    private QueryCoordinator module() {
        if (module == null) {
            long longestSoft = indexes.values().stream()
                    .mapToLong(lookupClass -> lookupClass.latencyObjectiveUs)
                    .max()
                    .orElse(1);
            AttemptTiming timing = new AttemptTiming(microsSetting("step"));
            ReplicaHealth health = new ReplicaHealth(longestSoft);
            ReplicaDirectory replicas =
                    new ReplicaDirectory(intSetting("cells"), intSetting("reach"), health);
            module = new FastestValidCoordinator(
                    timing,
                    new RepeatGuard(
                            timing,
                            intSetting("tries"),
                            booleanSetting("copies"),
                            booleanSetting("cancel")),
                    new ReplicaSelector(
                            replicas,
                            new SlowStart(
                                    7, intSetting("group"), 0.2, 10_000_000, 2, 2_000_000, health),
                            new CallSharing(intSetting("bundle"), microsSetting("call")),
                            intSetting("zone"),
                            doubleSetting("cross"),
                            health),
                    health,
                    new RetryBudget(
                            microsSetting("lookback"),
                            intSetting("free"),
                            doubleSetting("ratio"),
                            100),
                    new AdmissionController(7, microsSetting("comeback")),
                    new EndpointListPoller(7, booleanSetting("asks"), microsSetting("mustask")));
            module.advanceClock(now);
        }
        return module;
    }

    private void advanceTo(long to) {
        pullDecisions();
        while (!wakeTimes.isEmpty() && wakeTimes.first() <= to) {
            now = Math.max(now, wakeTimes.pollFirst());
            module().advanceClock(now);
            module().onTimer();
            pullDecisions();
        }
        now = to;
        module().advanceClock(now);
    }

    private void pullDecisions() {
        while (module().decide(this)) {
            // Each decision is noted as it leaves.
        }
    }

    private void expectNoDecisionLeft() {
        pullDecisions();
        if (!unexpectedDecisions.isEmpty()) {
            throw new AssertionError(
                    "decisions that the scenario does not expect: " + unexpectedDecisions);
        }
    }

    private double doubleSetting(String key) {
        return Double.parseDouble(settings.getOrDefault(key, "0"));
    }

    private int intSetting(String key) {
        return (int) doubleSetting(key);
    }

    private long microsSetting(String key) {
        return ms(settings.getOrDefault(key, "0"));
    }

    private boolean booleanSetting(String key) {
        return settings.getOrDefault(key, "no").equals("yes");
    }

    private static long ms(String text) {
        return Math.round(1000 * Double.parseDouble(text));
    }

    @Override
    public void send(Attempt c, long limitUs) {
        unexpectedDecisions.add("send " + names.get(c.part) + " " + c.node.nodeId);
    }

    @Override
    public void cancel(Attempt c) {
        unexpectedDecisions.add("cancel " + names.get(c.part) + "#" + c.number);
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        unexpectedDecisions.add("release " + node.nodeId);
    }

    @Override
    public void answer(Lookup lookup, boolean whole) {
        unexpectedDecisions.add("answer " + names.get(lookup) + (whole ? " whole" : " partial"));
    }

    @Override
    public void reject(Lookup lookup, long comeBackUs) {
        unexpectedDecisions.add(
                "nack " + names.get(lookup) + (comeBackUs > 0 ? " " + comeBackUs / 1000 : ""));
    }

    @Override
    public void abort(Lookup lookup) {
        unexpectedDecisions.add("abort " + names.get(lookup));
    }

    @Override
    public void wakeAt(long atUs) {
        wakeTimes.add(atUs);
    }

    @Override
    public void subscribeToEndpointList() {
        unexpectedDecisions.add("follow");
    }
}
