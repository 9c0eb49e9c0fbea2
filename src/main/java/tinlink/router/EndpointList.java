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
 * The endpoint list: the data nodes known before the start, updated with the changes from discovery.
 * Confined to the event loop's thread. Its size is bounded by what discovery lists.
 */
final class EndpointList {
    private static final EventLog LOG = new EventLog("tinlink.discovery");
    private final DecisionDriver driver;
    private final AttemptDispatcher dispatcher;
    private final NameTable zones;
    private final NameTable kinds;
    /** By uid; a data node is removed when discovery no longer lists it. */
    private final Map<String, DataNode> nodes = new HashMap<>();
    /**
     * Data nodes cordoned for maintenance, by uid, whatever their listed state; bounded by the number of
     * maintenance tasks. The endpoint is kept to count attempts in flight after the list has dropped the data
     * node; null if the data node was not listed.
     */
    private final Map<String, NodeEndpoint> cordoned = new HashMap<>();
    /** Uids that discovery lists as not in service; an entry is removed with its data node. */
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

    /** The revision of the latest update from discovery. */
    long revision() {
        return revision;
    }

    /** A cordoned data node gets no new parts; without the cordon its listed state applies again. */
    void setCordoned(String uid, boolean cordon) {
        DataNode node = nodes.get(uid);
        if (cordon) {
            cordoned.putIfAbsent(uid, node == null ? null : dispatcher.endpointOf(node));
        } else {
            cordoned.remove(uid);
        }
        if (node != null) {
            node.state = state(uid);
            notifyChanged(node, false, false);
            driver.applyInput(
                    coordinator -> coordinator.onEndpointListUpdate(EndpointListUpdate.CHANGES));
            notifyCells();
        }
    }

    private DataNode.State state(String uid) {
        return drainingUids.contains(uid) || cordoned.containsKey(uid)
                ? DataNode.State.DRAINING
                : DataNode.State.READY;
    }

    /** Attempts in flight at the data node or queued for it. */
    int attemptsInFlight(String uid) {
        DataNode node = nodes.get(uid);
        NodeEndpoint cordonedEndpoint = cordoned.get(uid);
        NodeEndpoint listedEndpoint = node == null ? cordonedEndpoint : dispatcher.endpointOf(node);
        int listed = listedEndpoint == null ? 0 : listedEndpoint.attemptsInFlight;
        return cordonedEndpoint == null || cordonedEndpoint == listedEndpoint
                ? listed
                : listed + cordonedEndpoint.attemptsInFlight;
    }

    /** A copy of the held list with names of zones and kinds, in the order of the uids. */
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

    /** The listener gets the cells with a data node that accepts new parts, now and after each change. */
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

    /** Whether the kind and zone of the data node match one of the offers; a null name matches any. */
    boolean matches(DataNode node, List<Http2Config.Offer> offers) {
        return offers.stream()
                .anyMatch(offer -> (offer.kind() == null || kinds.idOf(offer.kind()) == node.kind)
                        && (offer.zone() == null || zones.idOf(offer.zone()) == node.zone));
    }

    /** A data node that stands for a router of another site: one per cell, with its own zone and kind. */
    DataNode newRemoteNode(String site, int cell) {
        DataNode node = new DataNode(nextNodeId++);
        node.state = DataNode.State.DRAINING;
        node.zone = zones.idOf(site);
        node.kind = kinds.idOf("router of " + site);
        node.cell = cell;
        return node;
    }

    /** Applies the list known before the start, which may be out of date. */
    void applyCached(Map<?, ?> list) {
        if (!list.isEmpty()) {
            apply(list, EndpointListUpdate.CACHED);
        }
    }

    // ---- Updates. ----

    /**
     * Applies an object from discovery. Invalid entries are logged and skipped. If the object is no list, the
     * held list stays.
     *
     * @param fullListUpdate how a full list is reported to the coordinator
     * @return whether the object is a list
     */
    boolean apply(Object object, EndpointListUpdate fullListUpdate) {
        if (!(object instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)) {
            LOG.log(Level.WARNING, "endpoint_list_invalid", "reason", "'targets' is not a list");
            return false;
        }
        boolean fullList =
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
        if (fullList) {
            nodes.keySet().stream()
                    .filter(uid -> !namedUids.contains(uid))
                    .sorted()
                    .toList()
                    .forEach(this::remove);
        }
        entries.forEach(Runnable::run);
        driver.applyInput(coordinator -> coordinator.onEndpointListUpdate(
                fullList ? fullListUpdate : EndpointListUpdate.CHANGES));
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

    private void notifyChanged(DataNode node, boolean restarted, boolean moved) {
        driver.applyInput(coordinator -> coordinator.onEndpoint(node, restarted));
        dispatcher.endpointChanged(dispatcher.endpointOf(node), moved || restarted);
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
            // A drain takes effect from the first entry that lists it, even if other fields of the
            // entry are invalid.
            drainingUids.add(entry.uid());
            knownNode.state = DataNode.State.DRAINING;
            notifyChanged(knownNode, false, false);
        }
    }

    /** @param knownNode null if the data node is new to the list */
    private void update(DataNode knownNode, EndpointEntry entry) {
        String uid = entry.uid();
        DataNode node = knownNode == null ? new DataNode(nextNodeId++) : knownNode;
        boolean restarted = knownNode != null && node.startedAtUs != entry.startedAtUs();
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
        boolean moved = endpoint.address != null && !endpoint.address.equals(entry.address());
        endpoint.address = entry.address();
        notifyChanged(node, restarted, moved);
    }
}
