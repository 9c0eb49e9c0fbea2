package tinlink.simadapter;

import tinlink.config.DecisionConfig;
import tinlink.config.FlatSettings;
import tinlink.config.InvalidInputException;
import tinlink.decision.Attempt;
import tinlink.decision.DataNode;
import tinlink.decision.DecisionHandler;
import tinlink.decision.Lookup;
import tinlink.decision.LookupClass;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.QueryCoordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One simulated router. It keeps the decision module, maps the lookups and parts in flight to their ids in
 * the simulator's protocol, and writes the decisions as the protocol's actions.
 */
final class SimulatedRouter implements DecisionHandler {
    private static final class WireLookup extends Lookup {
        String wireId;
        long queryNumber;
        /** The parts of the lookup whose step is not over. */
        final List<WirePart> currentParts = new ArrayList<>();
    }

    private static final class WirePart extends Part {
        String wireId;
    }

    private final QueryCoordinator coordinator;
    private final LookupClass[] lookupClasses;
    private final Map<Long, DataNode> nodes = new LinkedHashMap<>();
    /** Lookups in flight by their wire id; a lookup is removed when it ends. */
    private final Map<String, WireLookup> lookups = new HashMap<>();

    private final Map<Long, WireLookup> lookupsByQueryNumber = new HashMap<>();
    /** Parts by their wire id; a part is removed once its step is over and no attempt is in flight. */
    private final Map<String, WirePart> parts = new HashMap<>();

    private final StringBuilder out = new StringBuilder();

    SimulatedRouter(long seed, FlatSettings settings) {
        DecisionConfig decision = new DecisionConfig(seed, settings);
        lookupClasses = decision.lookupClasses;
        coordinator = decision.module;
    }

    void advanceClock(long nowUs) {
        coordinator.advanceClock(nowUs);
    }

    /** Reads a lookup, or a part of one, which has a shard of 0 or above. */
    void onLookupOrPart(WireLine line, long nowUs) {
        String wireId = line.requiredField("xid");
        line.field("partitionKey");
        line.field("costMs");
        long flags = line.wholeNumber("marks", 0);
        int shard = (int) line.number("rangeNo", -1);
        long queryNumber = line.wholeNumber("queryNo");
        line.wholeNumber("party", 0); // The tenant; no decision uses it.
        double weight = line.number("heft", 1);
        int profile = (int) line.wholeNumber("profile", 0);
        long leftUs = line.micros("leftMs");
        line.expectEnd();
        if (profile < 0 || profile >= lookupClasses.length) {
            throw new WireFormatException("job_in", "unknown profile: " + profile);
        }
        if (shard < 0) {
            WireLookup lookup = new WireLookup();
            lookup.wireId = wireId;
            lookup.queryNumber = queryNumber;
            lookup.lookupClass = lookupClasses[profile];
            lookup.clientRetry = (flags & 2) != 0;
            lookup.announcedParts = (int) Math.round(weight);
            lookup.clientDeadlineUs = nowUs + leftUs;
            lookups.put(wireId, lookup);
            lookupsByQueryNumber.put(queryNumber, lookup);
            coordinator.onLookup(lookup);
            return;
        }
        WireLookup lookup = lookupsByQueryNumber.get(queryNumber);
        if (lookup == null) {
            return; // The lookup has ended.
        }
        WirePart part = new WirePart();
        part.wireId = wireId;
        part.lookup = lookup;
        part.shard = shard;
        part.weight = weight;
        lookup.currentParts.add(part);
        parts.put(wireId, part);
        coordinator.onPart(part);
    }

    void onOutcome(WireLine line) {
        String wireId = line.requiredField("xid");
        Outcome outcome = outcome(line);
        long tookUs = line.micros("rttMs", 0);
        line.field("node");
        int attemptNumber = (int) line.wholeNumber("try");
        line.field("finished");
        String feedback = line.rest();
        WirePart part = parts.get(wireId);
        if (part == null) {
            return;
        }
        if (attemptNumber < 0
                || attemptNumber >= part.attempts.size()
                || part.attempts.get(attemptNumber).outcome != null) {
            throw new InvalidInputException(
                    "verdict: part " + wireId + " has no attempt " + attemptNumber + " in flight");
        }
        coordinator.onOutcome(
                part.attempts.get(attemptNumber), outcome, tookUs, reportedServiceTimeUs(feedback));
        if (part.attemptsInFlight == 0
                && (part.lookup.ended || !part.lookup.parts.contains(part))) {
            parts.remove(wireId);
        }
    }

    private static Outcome outcome(WireLine line) {
        String code = line.requiredField("verdict");
        return switch (code) {
            case "served" -> Outcome.SATISFIED;
            case "server_error" -> Outcome.ERROR;
            case "turned_away" -> Outcome.REJECTED;
            case "no_answer" -> Outcome.NO_ANSWER;
            case "no_connection" -> Outcome.NO_CONNECTION;
            case "connection_lost" -> Outcome.CONNECTION_LOST;
            case "called_off" -> Outcome.CANCELLED;
            case "not_sent" -> Outcome.NOT_SENT;
            default -> throw new WireFormatException(line.name(), "unknown outcome: " + code);
        };
    }

    /** The service time that the data node reported; negative where it reported none. */
    private static long reportedServiceTimeUs(String feedback) {
        for (String pair : feedback.isEmpty() ? new String[0] : feedback.split(",")) {
            if (pair.startsWith("latency_ms:")) {
                return WireLine.micros(
                        "verdict", "feedback", pair.substring("latency_ms:".length()));
            }
        }
        return -1;
    }

    void onHealthCheckAnswer(WireLine line) {
        long nodeId = line.wholeNumber("node");
        Outcome outcome = outcome(line);
        long tookUs = line.micros("rttMs", 0);
        long reportedUs = reportedServiceTimeUs(line.rest());
        DataNode node = nodes.get(nodeId);
        if (node != null) {
            coordinator.onHealthCheck(node, outcome, tookUs, reportedUs);
        }
    }

    void onClientGone(String wireId) {
        WireLookup lookup = lookups.get(wireId);
        if (lookup != null) {
            coordinator.onClientGone(lookup);
            forgetEnded(lookup);
        }
    }

    void onTimer() {
        coordinator.onTimer();
    }

    /** Applies one entry of an endpoint list update. */
    void applyEntry(WireEndpointList.Entry entry) {
        DataNode node = nodes.get(entry.nodeId());
        boolean known = node != null;
        if (!known) {
            if (entry.state() == DataNode.State.GONE) {
                return;
            }
            node = new DataNode(entry.nodeId());
        }
        boolean restarted = known
                && node.startedAtUs != entry.startedAtUs()
                && entry.state() != DataNode.State.GONE;
        node.state = entry.state();
        if (node.state == DataNode.State.GONE) {
            nodes.remove(entry.nodeId());
        } else {
            node.zone = entry.zone();
            node.kind = entry.kind();
            node.cell = entry.cell();
            node.size = entry.size();
            node.startedAtUs = entry.startedAtUs();
            nodes.put(entry.nodeId(), node);
        }
        coordinator.onEndpoint(node, restarted);
    }

    /** Applies a full endpoint list; known data nodes that are not in the list are gone. */
    void applyFullList(WireEndpointList endpointList) {
        for (DataNode node : new ArrayList<>(nodes.values())) {
            if (!endpointList.contains(node.nodeId)) {
                node.state = DataNode.State.GONE;
                nodes.remove(node.nodeId);
                coordinator.onEndpoint(node, false);
            }
        }
        endpointList.entries().forEach(this::applyEntry);
    }

    void onEndpointListUpdate(QueryCoordinator.EndpointListUpdate update) {
        coordinator.onEndpointListUpdate(update);
    }

    /** Pulls all decisions of this batch, and returns them as actions. */
    StringBuilder actions() {
        out.setLength(0);
        while (coordinator.decide(this)) {
            // The handler methods below write each decision.
        }
        return out;
    }

    @Override
    public void send(Attempt attempt, long limitUs) {
        String wireId = ((WirePart) attempt.part).wireId;
        out.append("transmit ")
                .append(wireId)
                .append(' ')
                .append(attempt.node.nodeId)
                .append(' ');
        appendMillis(limitUs);
    }

    @Override
    public void cancel(Attempt attempt) {
        String wireId = ((WirePart) attempt.part).wireId;
        out.append("call_off ")
                .append(wireId)
                .append(' ')
                .append(attempt.number)
                .append('\n');
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        out.append("release ").append(node.nodeId).append('\n');
    }

    @Override
    public void answer(Lookup lookup, boolean complete) {
        out.append("respond ")
                .append(((WireLookup) lookup).wireId)
                .append(complete ? " 1\n" : " 0\n");
        forgetEnded((WireLookup) lookup);
    }

    @Override
    public void reject(Lookup lookup, long retryAfterUs) {
        out.append("refuse ").append(((WireLookup) lookup).wireId).append(' ');
        appendMillis(retryAfterUs);
        forgetEnded((WireLookup) lookup);
    }

    @Override
    public void abort(Lookup lookup) {
        out.append("drop_request ").append(((WireLookup) lookup).wireId).append('\n');
        forgetEnded((WireLookup) lookup);
    }

    @Override
    public void wakeAt(long atUs) {
        out.append("notify_me ");
        appendMillis(atUs);
        out.setLength(out.length() - 1);
        out.append(" 0\n");
    }

    @Override
    public void subscribeToEndpointList() {
        out.append("track 1\n");
    }

    /** Appends a time in milliseconds with three decimals, and ends the line. */
    private void appendMillis(long timeUs) {
        out.append(timeUs / 1000).append('.');
        long rest = timeUs % 1000;
        out.append(rest / 100).append(rest / 10 % 10).append(rest % 10).append('\n');
    }

    /**
     * Removes the parts whose step is over, and the lookup where it has ended. A part with an attempt in
     * flight stays known by its wire id until the attempt's outcome.
     */
    private void forgetEnded(WireLookup lookup) {
        lookup.currentParts.removeIf(part -> {
            boolean over = lookup.ended || !lookup.parts.contains(part);
            if (over && part.attemptsInFlight == 0) {
                parts.remove(part.wireId);
            }
            return over;
        });
        if (lookup.ended) {
            lookups.remove(lookup.wireId);
            lookupsByQueryNumber.remove(lookup.queryNumber);
        }
    }
}
