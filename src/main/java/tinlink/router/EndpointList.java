package tinlink.router;

import tinlink.config.FlatSettings;
import tinlink.config.Http2Config;
import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.decision.QueryCoordinator;
import tinlink.maintenance.MaintenanceService;
import tinlink.net.EventLog;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;

/** The endpoint list: the data nodes known at the start, and what discovery has sent since. */
final class EndpointList {
    private static final EventLog LOG = new EventLog("tinlink.discovery");
    private final DecisionDriver driver;
    private final AttemptDispatcher dispatcher;
    private final NameTable zones;
    private final NameTable kinds;
    /** By uid; a node leaves when the list no longer has it. */
    private final Map<String, DataNode> nodes = new HashMap<>();
    /**
     * Left out for work, whatever the list says of them; as many as there is work in hand. What is
     * open there stays open when the list drops the node: null where it was never listed.
     */
    private final Map<String, NodeEndpoint> cordoned = new HashMap<>();
    /** Those that the list itself does not have in service; each leaves with its node. */
    private final Set<String> drainingUids = new HashSet<>();

    private long nextNodeId;
    private Consumer<BitSet> cellListener = cells -> {};
    private long revision;

    /** Numbers for names: those of the settings first, others as they come. There are few. */
    private static final class NameTable {
        private final List<String> names;

        NameTable(List<String> names) {
            this.names = new ArrayList<>(names);
        }

        int idOf(String name) {
            String plainName = FlatSettings.plainName(name);
            if (!names.contains(plainName)) {
                names.add(plainName);
            }
            return names.indexOf(plainName);
        }
    }

    EndpointList(
            DecisionDriver driver, AttemptDispatcher dispatcher, RouterConfig.EndpointNames names) {
        this.driver = driver;
        this.dispatcher = dispatcher;
        zones = new NameTable(names.zones());
        kinds = new NameTable(names.kinds());
    }

    int size() {
        return nodes.size();
    }

    /** As discovery has numbered the list most recently. */
    long revision() {
        return revision;
    }

    /** A data node that work is done on takes nothing new, or again whatever the list lets it. */
    void setCordoned(String uid, boolean isCordoned) {
        DataNode node = nodes.get(uid);
        if (isCordoned) {
            cordoned.putIfAbsent(uid, node == null ? null : dispatcher.endpointOf(node));
        } else {
            cordoned.remove(uid);
        }
        if (node != null) {
            node.state = state(uid);
            notifyChanged(node, false, false);
            driver.applyInput(
                    m -> m.onEndpointListUpdate(QueryCoordinator.EndpointListUpdate.CHANGES));
            notifyCells();
        }
    }

    private DataNode.State state(String uid) {
        return drainingUids.contains(uid) || cordoned.containsKey(uid)
                ? DataNode.State.DRAINING
                : DataNode.State.READY;
    }

    /** Attempts that are in flight at that node or queued for it. */
    int attemptsInFlight(String uid) {
        DataNode node = nodes.get(uid);
        NodeEndpoint cordonedEndpoint = cordoned.get(uid);
        NodeEndpoint listedEndpoint = node == null ? cordonedEndpoint : dispatcher.endpointOf(node);
        return (listedEndpoint == null ? 0 : listedEndpoint.attemptsInFlight)
                + (cordonedEndpoint == null || cordonedEndpoint == listedEndpoint
                        ? 0
                        : cordonedEndpoint.attemptsInFlight);
    }

    /** The list as it is held, by names. */
    List<MaintenanceService.ListedNode> snapshot() {
        List<MaintenanceService.ListedNode> entries = new ArrayList<>();
        nodes.forEach((uid, node) -> entries.add(new MaintenanceService.ListedNode(
                uid,
                node.cell,
                zones.names.get(node.zone),
                kinds.names.get(node.kind),
                dispatcher.endpointOf(node).address)));
        entries.sort(Comparator.comparing(MaintenanceService.ListedNode::id));
        return entries;
    }

    /** Notified of the cells with a node that accepts new parts, whenever the list has changed. */
    void setCellListener(Consumer<BitSet> listener) {
        cellListener = listener;
        notifyCells();
    }

    private void notifyCells() {
        BitSet cells = new BitSet();
        nodes.values().stream()
                .filter(node -> node.state == DataNode.State.READY && node.cell >= 0)
                .forEach(node -> cells.set(node.cell));
        cellListener.accept(cells);
    }

    /** Whether a node is of one of these kinds and zones, by their names. */
    boolean matches(DataNode node, List<Http2Config.Offer> offers) {
        return offers.stream()
                .anyMatch(offer -> (offer.kind() == null || kinds.idOf(offer.kind()) == node.kind)
                        && (offer.zone() == null || zones.idOf(offer.zone()) == node.zone));
    }

    /**
     * A router of another site as the module sees it: one node a cell, of a zone and a kind of
     * their own.
     */
    DataNode newRemoteNode(String site, int cell) {
        DataNode node = new DataNode(nextNodeId++);
        node.state = DataNode.State.DRAINING;
        node.zone = zones.idOf(site);
        node.kind = kinds.idOf("router of " + site);
        node.cell = cell;
        return node;
    }

    /** The list as the router had it before it started; it may be old. */
    void applyCached(Map<?, ?> list) {
        if (!list.isEmpty()) {
            apply(list, QueryCoordinator.EndpointListUpdate.CACHED);
        }
    }

    // ---- Updates from discovery. ----

    /**
     * One object of discovery's. What of it can't be used is left out and said; the list held
     * stays.
     */
    boolean apply(Object object, QueryCoordinator.EndpointListUpdate updateKind) {
        if (!(object instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)) {
            LOG.log(Level.WARNING, "endpoint_list_invalid", "reason", "'targets' is no list");
            return false;
        }
        boolean isFullList = updateKind == QueryCoordinator.EndpointListUpdate.CACHED
                || Boolean.TRUE.equals(map.get("all"));
        if (map.get("rev") instanceof Double rev) {
            revision = rev.longValue();
        }
        Set<String> namedUids = new HashSet<>();
        List<Runnable> entries = new ArrayList<>();
        for (Object entry : targets) {
            if (entry instanceof Map<?, ?> fields && fields.get("uid") instanceof String uid) {
                namedUids.add(uid);
                entries.add(() -> applyEntry(uid, fields));
            } else {
                LOG.log(Level.WARNING, "endpoint_invalid", "field", "uid", "reason", "missing");
            }
        }
        if (isFullList) {
            for (String uid : nodes.keySet().stream()
                    .filter(u -> !namedUids.contains(u))
                    .sorted()
                    .toList()) {
                remove(uid);
            }
        }
        entries.forEach(Runnable::run);
        driver.applyInput(m -> m.onEndpointListUpdate(
                isFullList ? updateKind : QueryCoordinator.EndpointListUpdate.CHANGES));
        notifyCells();
        LOG.log(
                Level.INFO,
                "endpoint_list_updated",
                "revision",
                revision,
                "entries",
                targets.size(),
                "nodes",
                nodes.size());
        return true;
    }

    private void remove(String uid) {
        DataNode node = nodes.remove(uid);
        drainingUids.remove(uid);
        if (node != null) {
            node.state = DataNode.State.GONE;
            notifyChanged(node, false, false);
        }
    }

    private void notifyChanged(DataNode node, boolean hasRestarted, boolean hasMoved) {
        driver.applyInput(m -> m.onEndpoint(node, hasRestarted));
        dispatcher.endpointChanged(dispatcher.endpointOf(node), hasMoved || hasRestarted);
    }

    private void applyEntry(String uid, Map<?, ?> fields) {
        String state = String.valueOf(fields.get("state"));
        if (state.equals("terminated")) {
            remove(uid);
            return;
        }
        boolean ready = state.equals("in_service");
        if (!ready && !state.equals("terminating")) {
            LOG.log(
                    Level.WARNING,
                    "endpoint_invalid",
                    "field",
                    "state",
                    "uid",
                    uid,
                    "value",
                    state);
        }
        DataNode knownNode = nodes.get(uid);
        InetSocketAddress address = address(uid, String.valueOf(fields.get("endpoint")));
        Double cell = address == null ? null : cell(uid, fields.get("pod_group"));
        if (cell == null) {
            // Danger: drains are kept from the first word of them, whatever else of the entry can't
            // be used.
            if (knownNode != null && !ready) {
                drainingUids.add(uid);
                knownNode.state = DataNode.State.DRAINING;
                notifyChanged(knownNode, false, false);
            }
            return;
        }
        DataNode node = knownNode == null ? new DataNode(nextNodeId++) : knownNode;
        long startedAt = fields.get("boot_ms") instanceof Double ms && ms > 0
                ? Math.round(1000 * ms)
                : Long.MIN_VALUE;
        boolean hasRestarted = knownNode != null && node.startedAtUs != startedAt;
        if (ready) {
            drainingUids.remove(uid);
        } else {
            drainingUids.add(uid);
        }
        node.state = state(uid);
        node.zone = zones.idOf(String.valueOf(fields.get("az")));
        node.kind = kinds.idOf(String.valueOf(fields.get("model")));
        node.cell = cell.intValue();
        node.size = fields.get("capacity_hint") instanceof Double size && size > 0 ? size : 1;
        node.startedAtUs = startedAt;
        nodes.put(uid, node);
        NodeEndpoint endpoint = dispatcher.endpointOf(node);
        endpoint.uid = uid;
        boolean hasMoved = endpoint.address != null && !endpoint.address.equals(address);
        endpoint.address = address;
        notifyChanged(node, hasRestarted, hasMoved);
    }

    private static InetSocketAddress address(String uid, String endpoint) {
        try {
            return RouterConfig.parseAddress(endpoint);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "endpoint_invalid",
                    "field",
                    "endpoint",
                    "uid",
                    uid,
                    "value",
                    endpoint);
            return null;
        }
    }

    private static Double cell(String uid, Object group) {
        if (group instanceof Double cell) {
            return cell;
        }
        LOG.log(Level.WARNING, "endpoint_invalid", "field", "pod_group", "uid", uid);
        return null;
    }
}
