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

/** Plays one scenario against the decision module; docs/scenarios.md describes the notation. */
final class DecisionScenarioPlayer implements DecisionHandler {
    private final Map<String, String> settings = new HashMap<>(Map.of(
            "step", "1", "tries", "4", "copies", "yes", "cancel", "yes", "cells", "1", "reach", "1",
            "bundle", "1", "call", "0", "group", "1"));
    private final Map<String, LookupClass> lookupClasses = new LinkedHashMap<>();
    private final Map<Long, DataNode> nodes = new LinkedHashMap<>();
    private final Map<String, Lookup> lookups = new HashMap<>();
    /** Names that the scenario gives to lookups and parts. */
    private final Map<Object, String> names = new HashMap<>();

    private final Map<String, Part> parts = new HashMap<>();
    /** Decisions that the scenario has not named yet. */
    private final List<String> unexpectedDecisions = new ArrayList<>();
    /** Times of the timers that the module has requested. */
    private final TreeSet<Long> wakeTimes = new TreeSet<>();

    private QueryCoordinator module;
    private long now;

    void play(List<String> script) {
        int lineNumber = 0;
        for (String raw : script) {
            lineNumber++;
            String line = raw.replaceAll("#\\s.*|^#.*", "").trim();
            try {
                for (String step : line.isEmpty() ? new String[0] : line.split(";\\s*")) {
                    runStep(step.split("\\s+"));
                }
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError(
                        "line " + lineNumber + ": " + raw.trim() + "\n  " + e.getMessage(), e);
            }
        }
        expectNoDecisionLeft();
    }

    private void runStep(String[] tokens) {
        switch (tokens[0]) {
            case "set" -> {
                for (int i = 1; i < tokens.length; i += 2) {
                    settings.put(tokens[i], tokens[i + 1]);
                }
            }
            case "index" -> addLookupClass(tokens);
            case "at" -> {
                expectNoDecisionLeft();
                advanceTo((long) (1000 * Double.parseDouble(tokens[1])));
            }
            case "stall" -> {
                pullDecisions();
                now = parseMillis(tokens[1]);
                module().advanceClock(now);
            }
            case "=" -> {
                pullDecisions();
                if (tokens[1].equals("nothing")) {
                    expectNoDecisionLeft();
                } else if (tokens.length > 2
                        && lookups.containsKey(tokens[2])
                        && tokens[1].matches("send|cancel")) {
                    expectAll(tokens);
                } else {
                    expect(String.join(" ", Arrays.copyOfRange(tokens, 1, tokens.length)));
                }
            }
            case "node" -> updateNode(tokens);
            case "nodes" -> {
                for (int i = 1; i < tokens.length; i++) {
                    updateNode(new String[] {"node", tokens[i]});
                }
                module().onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.FULL);
            }
            case "list" ->
                module().onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.valueOf(
                        tokens[1].toUpperCase(Locale.ROOT)));
            case "lookup" -> {
                Lookup lookup = new Lookup();
                lookup.lookupClass = lookupClasses.get(tokens[2]);
                lookup.clientDeadlineUs = now + parseMillis(tokens[4]);
                lookup.clientRetry = tokens[tokens.length - 1].equals("repeat");
                lookup.forwarded = tokens[tokens.length - 1].equals("forwarded");
                lookups.put(tokens[1], lookup);
                names.put(lookup, tokens[1]);
                lookup.announcedParts = shards(tokens).size();
                module().onLookup(lookup);
                passParts(lookup, tokens);
            }
            case "more" -> passParts(lookups.get(tokens[1]), tokens);
            case "gone" -> module().onClientGone(lookups.get(tokens[1]));
            default ->
                endAttempts(
                        Outcome.valueOf(tokens[0].toUpperCase(Locale.ROOT).replace('-', '_')),
                        tokens[1]);
        }
    }

    private void expect(String decision) {
        if (!unexpectedDecisions.remove(decision)) {
            throw new AssertionError("expected decision '" + decision
                    + "', remaining decisions are " + unexpectedDecisions);
        }
    }

    /**
     * Expects a decision for each part of a lookup. "send q 1 2" expects that the parts of q are sent to
     * nodes 1 and 2 in turn, and "cancel q" that the first attempt at each part is cancelled.
     */
    private void expectAll(String[] tokens) {
        for (int i = 0; i < lookups.get(tokens[2]).parts.size(); i++) {
            String part = tokens[2] + "." + i;
            expect(tokens[1] + " " + part
                    + (tokens[1].equals("cancel")
                            ? "#0"
                            : " " + tokens[3 + i % (tokens.length - 3)]));
        }
    }

    private void passParts(Lookup lookup, String[] tokens) {
        List<String> weights = after(tokens, "weights");
        List<Integer> shards = shards(tokens);
        for (int i = 0; i < shards.size(); i++) {
            Part part = new Part();
            part.lookup = lookup;
            part.shard = shards.get(i);
            part.weight =
                    weights.isEmpty() ? 1.0 / shards.size() : Double.parseDouble(weights.get(i));
            String name = names.get(lookup) + (lookup.secondStep ? ".b" : ".") + i;
            names.put(part, name);
            parts.put(name, part);
            module().onPart(part);
        }
    }

    private static List<Integer> shards(String[] tokens) {
        List<Integer> all = new ArrayList<>();
        for (String range : after(tokens, "shards")) {
            String[] ends = range.split("-", 0);
            for (int i = Integer.parseInt(ends[0]);
                    i <= Integer.parseInt(ends[ends.length - 1]);
                    i++) {
                all.add(i);
            }
        }
        return all;
    }

    /** The numeric tokens that follow the key. */
    private static List<String> after(String[] tokens, String key) {
        int start = Arrays.asList(tokens).indexOf(key) + 1;
        int end = start;
        while (start > 0 && end < tokens.length && Character.isDigit(tokens[end].charAt(0))) {
            end++;
        }
        return Arrays.asList(tokens).subList(start, end);
    }

    /**
     * Ends attempts with the given outcome: "q" the last attempt at each part of the lookup, "q.0" the last
     * attempt at the part, and "q.0#1" the attempt with that number.
     */
    private void endAttempts(Outcome outcome, String name) {
        if (lookups.containsKey(name)) {
            lookups.get(name).parts.stream()
                    .toList()
                    .forEach(part -> endAttempts(outcome, names.get(part)));
            return;
        }
        Part part = parts.get(name.replaceAll("#.*", ""));
        int number = name.contains("#")
                ? Integer.parseInt(name.replaceAll(".*#", ""))
                : part.attempts.size() - 1;
        Attempt attempt = part.attempts.get(number);
        if (attempt.outcome != null) {
            throw new AssertionError(
                    "expected attempt " + name + " in flight, found outcome " + attempt.outcome);
        }
        module().onOutcome(attempt, outcome, now - attempt.sentAtUs, -1);
    }

    private void addLookupClass(String[] tokens) {
        LookupClass lookupClass = new LookupClass();
        lookupClass.latencyObjectiveUs = parseMillis(after(tokens, "soft").get(0));
        lookupClass.deadlineUs = 10 * lookupClass.latencyObjectiveUs;
        after(tokens, "window")
                .forEach(value -> lookupClass.deduplicationWindowUs = parseMillis(value));
        after(tokens, "need")
                .forEach(value -> lookupClass.completeShare = Double.parseDouble(value));
        lookupClass.minimumShare = lookupClass.completeShare;
        after(tokens, "floor")
                .forEach(value -> lookupClass.minimumShare = Double.parseDouble(value));
        after(tokens, "second")
                .forEach(value -> lookupClass.secondStepParts = Integer.parseInt(value));
        lookupClass.lateAnswerWeight = Arrays.asList(tokens).contains("late") ? 0.3 : 0;
        for (LookupClass.Idempotency idempotency : LookupClass.Idempotency.values()) {
            if (Arrays.asList(tokens)
                    .contains(idempotency.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
                lookupClass.idempotency = idempotency;
            }
        }
        lookupClasses.put(tokens[1], lookupClass);
    }

    private void updateNode(String[] tokens) {
        long nodeId = Long.parseLong(tokens[1]);
        DataNode node = nodes.computeIfAbsent(nodeId, DataNode::new);
        long previousStartUs = node.startedAtUs;
        after(tokens, "cell").forEach(value -> node.cell = Integer.parseInt(value));
        after(tokens, "zone").forEach(value -> node.zone = Integer.parseInt(value));
        after(tokens, "line").forEach(value -> node.linkRoundTripUs = parseMillis(value));
        after(tokens, "started").forEach(value -> node.startedAtUs = parseMillis(value));
        String last = tokens[tokens.length - 1];
        node.state = last.equals("draining")
                ? DataNode.State.DRAINING
                : last.equals("gone") ? DataNode.State.GONE : DataNode.State.READY;
        module().onEndpoint(node, previousStartUs != node.startedAtUs && module != null);
    }

    private QueryCoordinator module() {
        if (module == null) {
            long longestObjectiveUs = lookupClasses.values().stream()
                    .mapToLong(lookupClass -> lookupClass.latencyObjectiveUs)
                    .max()
                    .orElse(1);
            AttemptTiming timing = new AttemptTiming(microsSetting("step"));
            ReplicaHealth health = new ReplicaHealth(longestObjectiveUs);
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

    private void advanceTo(long timeUs) {
        pullDecisions();
        while (!wakeTimes.isEmpty() && wakeTimes.first() <= timeUs) {
            now = Math.max(now, wakeTimes.pollFirst());
            module().advanceClock(now);
            module().onTimer();
            pullDecisions();
        }
        now = timeUs;
        module().advanceClock(now);
    }

    private void pullDecisions() {
        while (module().decide(this)) {
            // The handler methods below record each decision.
        }
    }

    private void expectNoDecisionLeft() {
        pullDecisions();
        if (!unexpectedDecisions.isEmpty()) {
            throw new AssertionError(
                    "found decisions that the scenario does not expect: " + unexpectedDecisions);
        }
    }

    private double doubleSetting(String key) {
        return Double.parseDouble(settings.getOrDefault(key, "0"));
    }

    private int intSetting(String key) {
        return (int) doubleSetting(key);
    }

    private long microsSetting(String key) {
        return parseMillis(settings.getOrDefault(key, "0"));
    }

    private boolean booleanSetting(String key) {
        return settings.getOrDefault(key, "no").equals("yes");
    }

    private static long parseMillis(String text) {
        return Math.round(1000 * Double.parseDouble(text));
    }

    @Override
    public void send(Attempt attempt, long limitUs) {
        unexpectedDecisions.add("send " + names.get(attempt.part) + " " + attempt.node.nodeId);
    }

    @Override
    public void cancel(Attempt attempt) {
        unexpectedDecisions.add("cancel " + names.get(attempt.part) + "#" + attempt.number);
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        unexpectedDecisions.add("release " + node.nodeId);
    }

    @Override
    public void answer(Lookup lookup, boolean complete) {
        unexpectedDecisions.add("answer " + names.get(lookup) + (complete ? " whole" : " partial"));
    }

    @Override
    public void reject(Lookup lookup, long retryAfterUs) {
        unexpectedDecisions.add(
                "nack " + names.get(lookup) + (retryAfterUs > 0 ? " " + retryAfterUs / 1000 : ""));
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
