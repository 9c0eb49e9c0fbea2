package tinlink.router;

import tinlink.config.GatewayConfig;
import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.decision.LookupClass;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.QueryCoordinator;
import tinlink.gateway.Gateway;
import tinlink.gateway.GatewayKeys;
import tinlink.gateway.IncomingPart;
import tinlink.gateway.OutgoingPart;
import tinlink.gateway.PartContent;
import tinlink.gateway.PartHandler;
import tinlink.gateway.forwarding.PartStatus;
import tinlink.gateway.forwarding.RemoteRouter;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.BitSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.logging.Level;

/**
 * Connects the request pipeline with the gateway to other sites. The decision module sees a router
 * of another site as one data node per cell; a part forwarded from another site becomes a lookup
 * with one part.
 */
final class GatewayIntegration implements PartHandler, Query.ResponseListener {
    private static final EventLog LOG = new EventLog("tinlink.gateway");
    private final EventLoop loop;
    private final RequestPipeline pipeline;
    private final Gateway gateway;
    private final int cells;
    /** The names of lookup classes, which the decision module handles as objects. */
    private final IdentityHashMap<LookupClass, String> classNames = new IdentityHashMap<>();
    /**
     * The data nodes that represent each remote router, by cell. An entry is null until the remote
     * router first serves the cell; the array length is the number of cells in the settings.
     */
    private final IdentityHashMap<RemoteRouter, DataNode[]> nodes = new IdentityHashMap<>();

    /** The number of parts received so far, from which their call ids are made. */
    private long forwardedQueries;

    GatewayIntegration(
            EventLoop loop, Network network, RouterConfig config, RequestPipeline pipeline) {
        this.loop = loop;
        this.pipeline = pipeline;
        cells = config.cells;
        config.lookups
                .lookupClasses()
                .forEach((name, lookupClass) -> classNames.put(lookupClass, name));
        GatewayConfig gatewayConfig = config.gateway;
        gateway = new Gateway(
                loop,
                network,
                new Gateway.Settings(
                        new Gateway.Identity(
                                gatewayConfig.site,
                                gatewayConfig.router,
                                loop.nowUs(),
                                gatewayConfig.acceptedSites),
                        new Gateway.Timing(
                                gatewayConfig.heartbeatUs,
                                gatewayConfig.handshakeUs,
                                gatewayConfig.recoveryRampUs,
                                config.maxDeadlineUs),
                        new Gateway.Limits(
                                gatewayConfig.maxInboundParts,
                                gatewayConfig.maxCachedOutcomes,
                                gatewayConfig.maxCachedOutcomeBytes,
                                gatewayConfig.maxInboundConnections,
                                gatewayConfig.maxQueuedParts),
                        gatewayConfig.remoteRouters.stream()
                                .map(remote -> new Gateway.RemoteEndpoint(
                                        remote.site(), remote.router(), remote.addresses()))
                                .toList(),
                        config.seed),
                keys(gatewayConfig),
                this);
    }

    private static GatewayKeys keys(GatewayConfig gatewayConfig) {
        return new GatewayKeys(Map.copyOf(gatewayConfig.keys), gatewayConfig.activeKeyId);
    }

    /** Starts to open channels to other sites and to accept theirs. */
    void start(GatewayConfig gatewayConfig) throws IOException {
        if (gatewayConfig.listen != null) {
            gateway.listen(gatewayConfig.listen);
        }
        pipeline.endpointList.setCellListener(gateway::announceCells);
        pipeline.driver.addAroundDecisions(gateway.turn());
        gateway.logCounters();
        LOG.log(
                Level.INFO,
                "gateway_started",
                "site",
                gatewayConfig.site,
                "router",
                gatewayConfig.router,
                "remote_routers",
                gatewayConfig.remoteRouters.size(),
                "address",
                gatewayConfig.listen == null ? "-" : gateway.address());
    }

    /** Applies the keys of a reloaded configuration; all other settings need a restart. */
    void updateKeys(GatewayConfig gatewayConfig) {
        gateway.replaceKeys(keys(gatewayConfig));
    }

    /** Returns the value of a gateway counter; called from outside of the event loop. */
    long count(String name) {
        return loop.submitAndWait(() -> gateway.counters().get(name));
    }

    /** Returns the number of remote cells that are ready; called from outside of the event loop. */
    int remoteCells() {
        return loop.submitAndWait(() -> (int) nodes.values().stream()
                .flatMap(Arrays::stream)
                .filter(node -> node != null && node.state == DataNode.State.READY)
                .count());
    }

    Gateway gateway() {
        return gateway;
    }

    // ---- Parts forwarded to other sites. ----

    @Override
    public void cellsChanged(RemoteRouter router, BitSet servedCells, long roundTripUs) {
        DataNode[] nodesByCell = nodes.computeIfAbsent(router, key -> new DataNode[cells]);
        for (int cell = 0; cell < cells; cell++) {
            if (nodesByCell[cell] == null && servedCells.get(cell)) {
                nodesByCell[cell] =
                        pipeline.endpointList.newRemoteNode(gateway.siteOf(router), cell);
                pipeline.dispatcher.endpointOf(nodesByCell[cell]).remoteSender =
                        sent -> forward(router, sent);
            }
            DataNode node = nodesByCell[cell];
            if (node != null) {
                node.linkRoundTripUs = roundTripUs;
                DataNode.State newState =
                        servedCells.get(cell) ? DataNode.State.READY : DataNode.State.DRAINING;
                boolean changed = node.state != newState;
                node.state = newState;
                if (changed) {
                    pipeline.driver.applyInput(coordinator -> coordinator.onEndpoint(node, false));
                }
            }
        }
        pipeline.driver.applyInput(coordinator ->
                coordinator.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.CHANGES));
    }

    private void forward(RemoteRouter remoteRouter, SentAttempt sent) {
        Query query = sent.part().query();
        OutgoingPart part = new OutgoingPart(
                sent,
                loop.nowUs(),
                sent.deadlineUs,
                sent.attempt.node.cell,
                query.lookupClass.idempotency == LookupClass.Idempotency.IDEMPOTENT,
                new PartContent(
                        sent.part().id,
                        classNames.get(query.lookupClass),
                        sent.part().shard,
                        query.idempotencyKey,
                        query.text,
                        query.clientRetry),
                effectDeadlineUs(sent));
        sent.transport = new AttemptTransport() {
            @Override
            public boolean isQueued() {
                return part.isQueued();
            }

            @Override
            public void onTimeout(SentAttempt sent) {
                // The gateway keeps the deadline of a forwarded part itself.
            }

            @Override
            public void onOutcome(SentAttempt sent, boolean cancelAtNode) {
                gateway.cancel(remoteRouter, part);
            }
        };
        gateway.forward(remoteRouter, part);
    }

    /**
     * The time after which the remote router must not start the part, in microseconds. An attempt
     * that arrives after the deduplication window of its idempotency key must not be the first
     * one to run.
     */
    private static long effectDeadlineUs(SentAttempt sent) {
        LookupClass lookupClass = sent.part().lookup.lookupClass;
        return lookupClass.idempotency != LookupClass.Idempotency.BY_KEY
                ? Long.MAX_VALUE
                : Math.min(
                        sent.effectDeadlineUs(),
                        lookupClass.deduplicationWindowUs + sent.attempt.sentAtUs);
    }

    @Override
    public void partEnded(OutgoingPart part, Outcome outcome, long tookUs) {
        SentAttempt sent = (SentAttempt) part.attachment;
        if (sent.ended) {
            return;
        }
        sent.ended = true;
        Query query = sent.part().query();
        if (outcome == Outcome.SATISFIED) {
            sent.part().value = new String(part.value, StandardCharsets.UTF_8);
        } else if (outcome == Outcome.REJECTED) {
            query.remoteRetryAfterUs = Math.max(query.remoteRetryAfterUs, part.retryAfterUs);
        }
        pipeline.driver.outcome(sent, outcome, tookUs);
    }

    // ---- Parts forwarded from other sites. ----

    @Override
    public void startPart(IncomingPart part) {
        try {
            Query query = pipeline.queryParser.parseForwarded(part, "/" + forwardedQueries++, this);
            part.attachment = query;
            query.remoteOrigin = part;
            if (pipeline.acceptor.hasCapacity(query)) {
                pipeline.driver.admit(query);
                return;
            }
        } catch (MessageRejectedException e) {
            LOG.log(Level.FINE, "forwarded_part_rejected", "reason", e.getMessage());
        }
        gateway.partEnded(part, PartStatus.REJECTED, null, 0);
    }

    @Override
    public void cancelPart(IncomingPart part) {
        if (part.attachment instanceof Query query && !query.ended) {
            pipeline.driver.clientGone(query);
        }
    }

    @Override
    public void onAnswer(Query query, boolean isComplete) {
        String value = ((QueryPart) query.parts.get(0)).value;
        gateway.partEnded(
                (IncomingPart) query.remoteOrigin,
                PartStatus.COMPLETED,
                value.getBytes(StandardCharsets.UTF_8),
                0);
    }

    @Override
    public void onRejection(Query query, long retryAfterUs) {
        endUnserved(query, retryAfterUs);
    }

    @Override
    public void onAbort(Query query) {
        endUnserved(query, 0);
    }

    @Override
    public void onFailure(Query query) {
        endUnserved(query, 0);
    }

    /**
     * Ends a forwarded part without an answer. The decision module also rejects an idempotent part
     * that may have run, because a repeat is harmless; the other router is told "rejected" only if
     * no attempt ran.
     */
    private void endUnserved(Query query, long retryAfterUs) {
        boolean neverRan = true;
        for (Part part : query.parts) {
            neverRan &= part.attempts.stream()
                    .allMatch(attempt -> attempt.outcome != null && attempt.outcome.neverRan);
        }
        gateway.partEnded(
                (IncomingPart) query.remoteOrigin,
                neverRan ? PartStatus.REJECTED : PartStatus.FAILED,
                null,
                retryAfterUs);
    }
}
