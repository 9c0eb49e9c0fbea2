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
 * What a request's stages and the links with other sites have to do with each other. Far routers
 * stand before the module as data nodes, one a cell; parts that come from other sites are lookups
 * of one part.
 */
final class GatewayIntegration implements PartHandler, Query.ResponseListener {
    private static final EventLog LOG = new EventLog("tinlink.gateway");
    private final EventLoop loop;
    private final RequestPipeline pipeline;
    private final Gateway gateway;
    private final int cells;
    /** Names of indexes; the module knows them as objects. */
    private final IdentityHashMap<LookupClass, String> classNames = new IdentityHashMap<>();
    /**
     * Of each far router by cell, made as it first serves one: as many as the settings have cells.
     */
    private final IdentityHashMap<RemoteRouter, DataNode[]> nodes = new IdentityHashMap<>();

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

    /** From now on lines are opened and taken. */
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

    /** The keys alone are taken over in service. */
    void updateKeys(GatewayConfig gatewayConfig) {
        gateway.replaceKeys(keys(gatewayConfig));
    }

    /** From another thread. */
    long count(String name) {
        return loop.submitAndWait(() -> gateway.counters().get(name));
    }

    /** From another thread. */
    int remoteCells() {
        return loop.submitAndWait(() -> (int) nodes.values().stream()
                .flatMap(Arrays::stream)
                .filter(node -> node != null && node.state == DataNode.State.READY)
                .count());
    }

    Gateway gateway() {
        return gateway;
    }

    // ---- Parts that go out. ----

    @Override
    public void cellsChanged(RemoteRouter router, BitSet servedCells, long lineUs) {
        DataNode[] nodesByCell = nodes.computeIfAbsent(router, r -> new DataNode[cells]);
        for (int cell = 0; cell < cells; cell++) {
            if (nodesByCell[cell] == null && servedCells.get(cell)) {
                nodesByCell[cell] =
                        pipeline.endpointList.newRemoteNode(gateway.siteOf(router), cell);
                pipeline.dispatcher.endpointOf(nodesByCell[cell]).remoteSender =
                        sent -> forward(router, sent);
            }
            DataNode node = nodesByCell[cell];
            if (node != null) {
                node.linkRoundTripUs = lineUs;
                DataNode.State newState =
                        servedCells.get(cell) ? DataNode.State.READY : DataNode.State.DRAINING;
                boolean hasChanged = node.state != newState;
                node.state = newState;
                if (hasChanged) {
                    pipeline.driver.applyInput(m -> m.onEndpoint(node, false));
                }
            }
        }
        pipeline.driver.applyInput(
                m -> m.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.CHANGES));
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
                        query.isClientRetry),
                effectUntil(sent));
        sent.transport = new AttemptTransport() {
            @Override
            public boolean isQueued() {
                return part.isQueued();
            }

            @Override
            public void onTimeout(SentAttempt sent) {
                // The links keep its time themselves.
            }

            @Override
            public void onOutcome(SentAttempt sent, boolean cancelAtNode) {
                gateway.cancel(remoteRouter, part);
            }
        };
        gateway.forward(remoteRouter, part);
    }

    /** Danger: what comes later on a line must not be the first of its key to run. */
    private static long effectUntil(SentAttempt sent) {
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
        if (sent.isEnded) {
            return;
        }
        sent.isEnded = true;
        Query query = sent.part().query();
        if (outcome == Outcome.SATISFIED) {
            sent.part().value = new String(part.value, StandardCharsets.UTF_8);
        } else if (outcome == Outcome.REJECTED) {
            query.remoteRetryAfterUs = Math.max(query.remoteRetryAfterUs, part.retryAfterUs);
        }
        pipeline.driver.outcome(sent, outcome, tookUs);
    }

    // ---- Parts that come in. ----

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
        if (part.attachment instanceof Query query && !query.isEnded) {
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
     * Danger: for an idempotent part a rejection says that a repeat is harmless, not that it never ran.
     */
    private void endUnserved(Query query, long retryAfterUs) {
        boolean neverRan = true;
        for (Part part : query.parts) {
            neverRan &=
                    part.attempts.stream().allMatch(c -> c.outcome != null && c.outcome.neverRan);
        }
        gateway.partEnded(
                (IncomingPart) query.remoteOrigin,
                neverRan ? PartStatus.REJECTED : PartStatus.FAILED,
                null,
                retryAfterUs);
    }
}
