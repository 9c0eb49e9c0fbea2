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
 * One router: its decision module, the wire ids of what is in flight, and the actions of the batch.
 */
final class SimulatedRouter implements DecisionHandler {
    private static final class WireLookup extends Lookup {
        String wireId;
        long queryNo;
        final List<WirePart> held = new ArrayList<>();
    }

    private static final class WirePart extends Part {
        String wireId;
    }

    private final QueryCoordinator module;
    private final LookupClass[] lookupClasses;
    private final Map<Long, DataNode> nodes = new LinkedHashMap<>();
    /** Each leaves as its lookup ends and the last attempt of its parts has its outcome. */
    private final Map<String, WireLookup> lookups = new HashMap<>();

    private final Map<Long, WireLookup> byQuery = new HashMap<>();
    private final Map<String, WirePart> parts = new HashMap<>();
    private final StringBuilder out = new StringBuilder();

    SimulatedRouter(long seed, FlatSettings settings) {
        DecisionConfig decision = new DecisionConfig(seed, settings);
        lookupClasses = decision.lookupClasses;
        module = decision.module;
    }

    void clock(long nowUs) {
        module.advanceClock(nowUs);
    }

    void onJob(WireLine line, long nowUs) {
        String wireId = line.requiredField("xid");
        line.field("partitionKey");
        line.field("costMs");
        long flags = line.wholeNumber("marks", 0);
        int shard = (int) line.number("rangeNo", -1);
        long queryNo = line.wholeNumber("queryNo");
        line.wholeNumber("party", 0); // No decision rests on the tenant.
        double weight = line.number("heft", 1);
        int profile = (int) line.wholeNumber("profile", 0);
        long leftUs = line.micros("leftMs");
        line.expectEnd();
        if (profile < 0 || profile >= lookupClasses.length) {
            throw new WireFormatException("job_in", "no such profile: " + profile);
        }
        if (shard < 0) {
            WireLookup lookup = new WireLookup();
            lookup.wireId = wireId;
            lookup.queryNo = queryNo;
            lookup.lookupClass = lookupClasses[profile];
            lookup.isClientRetry = (flags & 2) != 0;
            lookup.announcedParts = (int) Math.round(weight);
            lookup.clientDeadlineUs = nowUs + leftUs;
            lookups.put(wireId, lookup);
            byQuery.put(queryNo, lookup);
            module.onLookup(lookup);
            return;
        }
        WireLookup lookup = byQuery.get(queryNo);
        if (lookup == null) {
            return; // Its lookup is over.
        }
        WirePart part = new WirePart();
        part.wireId = wireId;
        part.lookup = lookup;
        part.shard = shard;
        part.weight = weight;
        lookup.held.add(part);
        parts.put(wireId, part);
        module.onPart(part);
    }

    void onVerdict(WireLine line) {
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
                    "verdict: no part call " + attemptNumber + " is out for " + wireId);
        }
        module.onOutcome(
                part.attempts.get(attemptNumber), outcome, tookUs, reportedServiceTimeUs(feedback));
        if (part.attemptsInFlight == 0
                && (part.lookup.isEnded || !part.lookup.parts.contains(part))) {
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
            default -> throw new WireFormatException(line.name(), "no such outcome: " + code);
        };
    }

    /** The reported service time; below 0 where none came. */
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
        long id = line.wholeNumber("node");
        Outcome outcome = outcome(line);
        long tookUs = line.micros("rttMs", 0);
        long reportedUs = reportedServiceTimeUs(line.rest());
        DataNode node = nodes.get(id);
        if (node != null) {
            module.onHealthCheck(node, outcome, tookUs, reportedUs);
        }
    }

    void clientGone(String wireId) {
        WireLookup lookup = lookups.get(wireId);
        if (lookup != null) {
            module.onClientGone(lookup);
            forgetEnded(lookup);
        }
    }

    void onTimer() {
        module.onTimer();
    }

    /** One entry of a watch event. */
    void applyEntry(WireEndpointList.Entry entry) {
        DataNode node = nodes.get(entry.id());
        boolean known = node != null;
        if (!known) {
            if (entry.state() == DataNode.State.GONE) {
                return;
            }
            node = new DataNode(entry.id());
        }
        boolean restarted = known
                && node.startedAtUs != entry.startedAt()
                && entry.state() != DataNode.State.GONE;
        node.state = entry.state();
        if (node.state == DataNode.State.GONE) {
            nodes.remove(entry.id());
        } else {
            node.zone = entry.zone();
            node.kind = entry.kind();
            node.cell = entry.cell();
            node.size = entry.size();
            node.startedAtUs = entry.startedAt();
            nodes.put(entry.id(), node);
        }
        module.onEndpoint(node, restarted);
    }

    /** A full list: what it does not name is gone. */
    void applyFullList(WireEndpointList endpointList) {
        for (DataNode node : new ArrayList<>(nodes.values())) {
            if (!endpointList.contains(node.nodeId)) {
                node.state = DataNode.State.GONE;
                nodes.remove(node.nodeId);
                module.onEndpoint(node, false);
            }
        }
        endpointList.entries().forEach(this::applyEntry);
    }

    void onWatchEvent(QueryCoordinator.EndpointListUpdate watchEvent) {
        module.onEndpointListUpdate(watchEvent);
    }

    /** Pulls decisions until there is none; the actions of this batch. */
    StringBuilder actions() {
        out.setLength(0);
        while (module.decide(this)) {
            // Each decision has been written as it left.
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
    public void answer(Lookup lookup, boolean isComplete) {
        out.append("respond ")
                .append(((WireLookup) lookup).wireId)
                .append(isComplete ? " 1\n" : " 0\n");
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

    /** Whole microseconds as milliseconds, ending the line. */
    private void appendMillis(long us) {
        out.append(us / 1000).append('.');
        long rest = us % 1000;
        out.append(rest / 100).append(rest / 10 % 10).append(rest % 10).append('\n');
    }

    /** Forgets what is over: the lookup, and its parts with no attempt in flight. */
    private void forgetEnded(WireLookup lookup) {
        lookup.held.removeIf(part -> {
            boolean isOver = lookup.isEnded || !lookup.parts.contains(part);
            if (isOver && part.attemptsInFlight == 0) {
                parts.remove(part.wireId);
            }
            return isOver;
        });
        if (lookup.isEnded) {
            lookups.remove(lookup.wireId);
            byQuery.remove(lookup.queryNo);
        }
    }
}
