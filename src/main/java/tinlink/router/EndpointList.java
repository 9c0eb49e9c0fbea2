package tinlink.router;

import tinlink.config.Http2Config;
import tinlink.config.RouterConfig;
import tinlink.decision.DataNode;
import tinlink.decision.QueryCoordinator.EndpointListUpdate;
import tinlink.maintenance.MaintenanceService;
import tinlink.net.EventLog;

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

/**
 * The endpoint list: the data nodes known at the start, and what discovery has sent since. Of the event
 * loop's thread; as many entries as discovery lists.
 */
final class EndpointList {
    private static final EventLog LOG = new EventLog("tinlink.discovery");
    private final DecisionDriver driver;
    private final AttemptDispatcher dispatcher;
    private final NameTable zones;
    private final NameTable kinds;
    /** By uid; a node leaves when the list no longer has it. */
    private final Map<String, DataNode> nodes = new HashMap<>();
    /**
     * Cordoned for maintenance, whatever the list says of them; as many as there are maintenance tasks. What
     * is in flight there stays so when the list drops the node: null where it was never listed.
     */
    private final Map<String, NodeEndpoint> cordoned = new HashMap<>();
    /** Those that the list itself does not have in service; each leaves with its node. */
    private final Set<String> drainingUids = new HashSet<>();

    private long nextNodeId;
    private Consumer<BitSet> cellListener = cells -> {};
    private long revision;

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

    /** A data node in maintenance takes nothing new; after it, whatever the list lets it. */
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
            driver.applyInput(m -> m.onEndpointListUpdate(EndpointListUpdate.CHANGES));
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
        int listed = listedEndpoint == null ? 0 : listedEndpoint.attemptsInFlight;
        return cordonedEndpoint == null || cordonedEndpoint == listedEndpoint
                ? listed
                : listed + cordonedEndpoint.attemptsInFlight;
    }

    /** The list as it is held, by names and in the order of the uids. */
    List<MaintenanceService.ListedNode> snapshot() {
        List<MaintenanceService.ListedNode> entries = new ArrayList<>();
        nodes.forEach((uid, node) -> entries.add(new MaintenanceService.ListedNode(
                uid,
                node.cell,
                zones.nameOf(node.zone),
                kinds.nameOf(node.kind),
                dispatcher.endpointOf(node).address)));
        entries.sort(Comparator.comparing(MaintenanceService.ListedNode::id));
        return entries;
    }

    /** Notified of the cells with a node that accepts new parts, now and whenever the list has changed. */
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

    /** A router of another site as the module sees it: one node a cell, of a zone and a kind of their own. */
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
            apply(list, EndpointListUpdate.CACHED);
        }
    }

    // ---- Updates. ----

    /**
     * Applies one object of discovery's. What of it can't be used is left out and logged; the list held
     * stays.
     *
     * @param fullListUpdate what a full list is to the module
     * @return whether it is a list
     */
    boolean apply(Object object, EndpointListUpdate fullListUpdate) {
        if (!(object instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)) {
            LOG.log(Level.WARNING, "endpoint_list_invalid", "reason", "'targets' is no list");
            return false;
        }
        boolean isFullList =
                fullListUpdate == EndpointListUpdate.CACHED || Boolean.TRUE.equals(map.get("all"));
        if (map.get("rev") instanceof Double rev) {
            revision = rev.longValue();
        }
        Set<String> namedUids = new HashSet<>();
        List<Runnable> entries = new ArrayList<>();
        for (Object entry : targets) {
            if (entry instanceof Map<?, ?> fields && fields.get("uid") instanceof String uid) {
                namedUids.add(uid);
                entries.add(() -> applyEntry(EndpointEntry.read(uid, fields)));
            } else {
                LOG.log(Level.WARNING, "endpoint_invalid", "field", "uid", "reason", "missing");
            }
        }
        if (isFullList) {
            nodes.keySet().stream()
                    .filter(uid -> !namedUids.contains(uid))
                    .sorted()
                    .toList()
                    .forEach(this::remove);
        }
        entries.forEach(Runnable::run);
        driver.applyInput(m ->
                m.onEndpointListUpdate(isFullList ? fullListUpdate : EndpointListUpdate.CHANGES));
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

    private void applyEntry(EndpointEntry entry) {
        if (entry.state() == EndpointEntry.State.TERMINATED) {
            remove(entry.uid());
            return;
        }
        DataNode knownNode = nodes.get(entry.uid());
        if (entry.isUsable()) {
            update(knownNode, entry);
        } else if (knownNode != null && !entry.isInService()) {
            // Danger: drains are kept from the first entry that has them, whatever else of it can't
            // be used.
            drainingUids.add(entry.uid());
            knownNode.state = DataNode.State.DRAINING;
            notifyChanged(knownNode, false, false);
        }
    }

    /** @param knownNode null where the list has not had it */
    private void update(DataNode knownNode, EndpointEntry entry) {
        String uid = entry.uid();
        DataNode node = knownNode == null ? new DataNode(nextNodeId++) : knownNode;
        boolean hasRestarted = knownNode != null && node.startedAtUs != entry.startedAtUs();
        if (entry.isInService()) {
            drainingUids.remove(uid);
        } else {
            drainingUids.add(uid);
        }
        node.state = state(uid);
        node.zone = zones.idOf(entry.zone());
        node.kind = kinds.idOf(entry.kind());
        node.cell = entry.cell();
        node.size = entry.capacity();
        node.startedAtUs = entry.startedAtUs();
        nodes.put(uid, node);
        NodeEndpoint endpoint = dispatcher.endpointOf(node);
        endpoint.uid = uid;
        boolean hasMoved = endpoint.address != null && !endpoint.address.equals(entry.address());
        endpoint.address = entry.address();
        notifyChanged(node, hasRestarted, hasMoved);
    }
}
