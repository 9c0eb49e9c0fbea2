package tinlink.router;

import tinlink.decision.Aggregator;
import tinlink.decision.DataNode;
import tinlink.start.Figures;
import tinlink.start.Http2Start;
import tinlink.start.RouterStart;
import tinlink.maintenance.MaintenanceService;

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
import java.util.logging.Logger;

/** The list of data nodes: what was known at the start, and what discovery has told since. */
final class Roster {
    private static final Logger LOG = Logger.getLogger("tinlink.roster");
    private final ModuleTurn turn;
    private final PartSends sends;
    private final Numbers zones;
    private final Numbers kinds;
    /** By uid; a node leaves when it is told as gone. */
    private final Map<String, DataNode> nodes = new HashMap<>();
    /**
     * Left out for work, whatever the list says of them; as many as there is work in hand. What is
     * open there stays open when the list drops the node: null where it was never listed.
     */
    private final Map<String, Target> leftOut = new HashMap<>();
    /** Those that the list itself does not have in service; each leaves with its node. */
    private final Set<String> notReady = new HashSet<>();

    private long nodesSeen;
    private Consumer<BitSet> hears = cells -> {};
    private long revision;

    /** Names as numbers: those of the settings first, others as they come. There are few. */
    private static final class Numbers {
        private final List<String> names;

        Numbers(List<String> names) {
            this.names = new ArrayList<>(names);
        }

        int of(String name) {
            String plain = Figures.plain(name);
            if (!names.contains(plain)) {
                names.add(plain);
            }
            return names.indexOf(plain);
        }
    }

    Roster(ModuleTurn turn, PartSends sends, RouterStart.Names names) {
        this.turn = turn;
        this.sends = sends;
        zones = new Numbers(names.zones());
        kinds = new Numbers(names.kinds());
    }

    int size() {
        return nodes.size();
    }

    /** As discovery has numbered the list most recently. */
    long revision() {
        return revision;
    }

    /** A data node that work is done on takes nothing new, or again whatever the list lets it. */
    void leaveOut(String uid, boolean out) {
        DataNode n = nodes.get(uid);
        if (out) {
            leftOut.putIfAbsent(uid, n == null ? null : sends.target(n));
        } else {
            leftOut.remove(uid);
        }
        if (n != null) {
            n.state = state(uid);
            told(n, false, false);
            turn.input(m -> m.nodes(Aggregator.News.CHANGES));
            tellCells();
        }
    }

    private DataNode.State state(String uid) {
        return notReady.contains(uid) || leftOut.containsKey(uid)
                ? DataNode.State.DRAINING
                : DataNode.State.READY;
    }

    /** Part calls that are open at that node or wait to be sent there. */
    int open(String uid) {
        DataNode n = nodes.get(uid);
        Target before = leftOut.get(uid);
        Target now = n == null ? before : sends.target(n);
        return (now == null ? 0 : now.open) + (before == null || before == now ? 0 : before.open);
    }

    /** The list as it is held, by names. */
    List<MaintenanceService.ListedNode> listed() {
        List<MaintenanceService.ListedNode> all = new ArrayList<>();
        nodes.forEach((uid, n) -> all.add(new MaintenanceService.ListedNode(
                uid,
                n.cell,
                zones.names.get(n.zone),
                kinds.names.get(n.kind),
                sends.target(n).address)));
        all.sort(Comparator.comparing(MaintenanceService.ListedNode::id));
        return all;
    }

    /** Hears of the cells with a node that takes new parts, whenever the list has changed. */
    void tells(Consumer<BitSet> who) {
        hears = who;
        tellCells();
    }

    private void tellCells() {
        BitSet cells = new BitSet();
        nodes.values().stream()
                .filter(n -> n.state == DataNode.State.READY && n.cell >= 0)
                .forEach(n -> cells.set(n.cell));
        hears.accept(cells);
    }

    /** Whether a node is of one of these kinds and zones, by their names. */
    boolean isOf(DataNode n, List<Http2Start.Offer> offers) {
        return offers.stream()
                .anyMatch(o -> (o.kind() == null || kinds.of(o.kind()) == n.kind)
                        && (o.zone() == null || zones.of(o.zone()) == n.zone));
    }

    /**
     * A router of another site as the module sees it: one node a cell, of a zone and a kind of
     * their own.
     */
    DataNode farNode(String site, int cell) {
        DataNode n = new DataNode(nodesSeen++);
        n.state = DataNode.State.DRAINING;
        n.zone = zones.of(site);
        n.kind = kinds.of("router of " + site);
        n.cell = cell;
        return n;
    }

    /** The list as the router had it before it started; it may be old. */
    void known(Map<?, ?> list) {
        if (!list.isEmpty()) {
            news(list, Aggregator.News.CACHED);
        }
    }

    // ---- News. ----

    /**
     * One object of discovery's. What of it can't be used is left out and said; the list held
     * stays.
     */
    boolean news(Object object, Aggregator.News whole) {
        if (!(object instanceof Map<?, ?> map)
                || !(map.get("targets") instanceof List<?> targets)) {
            LOG.warning("discovery: 'targets' is no list");
            return false;
        }
        boolean all = whole == Aggregator.News.CACHED || Boolean.TRUE.equals(map.get("all"));
        if (map.get("rev") instanceof Double rev) {
            revision = rev.longValue();
        }
        Set<String> named = new HashSet<>();
        List<Runnable> entries = new ArrayList<>();
        for (Object entry : targets) {
            if (entry instanceof Map<?, ?> fields && fields.get("uid") instanceof String uid) {
                named.add(uid);
                entries.add(() -> entry(uid, fields));
            } else {
                LOG.warning("discovery: 'uid' is missing in an entry");
            }
        }
        if (all) {
            for (String uid : nodes.keySet().stream()
                    .filter(u -> !named.contains(u))
                    .sorted()
                    .toList()) {
                gone(uid);
            }
        }
        entries.forEach(Runnable::run);
        turn.input(m -> m.nodes(all ? whole : Aggregator.News.CHANGES));
        tellCells();
        LOG.log(Level.INFO, "list {0}: {1} told, {2} nodes", new Object[] {
            String.valueOf(revision), targets.size(), nodes.size()
        });
        return true;
    }

    private void gone(String uid) {
        DataNode n = nodes.remove(uid);
        notReady.remove(uid);
        if (n != null) {
            n.state = DataNode.State.GONE;
            told(n, false, false);
        }
    }

    private void told(DataNode n, boolean restarted, boolean moved) {
        turn.input(m -> m.listed(n, restarted));
        sends.changed(sends.target(n), moved || restarted);
    }

    private void entry(String uid, Map<?, ?> fields) {
        String state = String.valueOf(fields.get("state"));
        if (state.equals("terminated")) {
            gone(uid);
            return;
        }
        boolean ready = state.equals("in_service");
        if (!ready && !state.equals("terminating")) {
            LOG.warning("discovery: 'state' of " + uid + " is not known, nothing new goes there: "
                    + state);
        }
        DataNode held = nodes.get(uid);
        InetSocketAddress address = address(uid, String.valueOf(fields.get("endpoint")));
        Double cell = address == null ? null : cell(uid, fields.get("pod_group"));
        if (cell == null) {
            // Danger: drains are kept from the first word of them, whatever else of the entry can't
            // be used.
            if (held != null && !ready) {
                notReady.add(uid);
                held.state = DataNode.State.DRAINING;
                told(held, false, false);
            }
            return;
        }
        DataNode n = held == null ? new DataNode(nodesSeen++) : held;
        long startedAt = fields.get("boot_ms") instanceof Double ms && ms > 0
                ? Math.round(1000 * ms)
                : Long.MIN_VALUE;
        boolean restarted = held != null && n.startedAt != startedAt;
        if (ready) {
            notReady.remove(uid);
        } else {
            notReady.add(uid);
        }
        n.state = state(uid);
        n.zone = zones.of(String.valueOf(fields.get("az")));
        n.kind = kinds.of(String.valueOf(fields.get("model")));
        n.cell = cell.intValue();
        n.size = fields.get("capacity_hint") instanceof Double size && size > 0 ? size : 1;
        n.startedAt = startedAt;
        nodes.put(uid, n);
        Target t = sends.target(n);
        t.uid = uid;
        boolean moved = t.address != null && !t.address.equals(address);
        t.address = address;
        told(n, restarted, moved);
    }

    private static InetSocketAddress address(String uid, String endpoint) {
        try {
            return RouterStart.address(endpoint);
        } catch (IllegalArgumentException e) {
            LOG.warning("discovery: 'endpoint' of " + uid + " is no address: " + endpoint);
            return null;
        }
    }

    private static Double cell(String uid, Object group) {
        if (group instanceof Double cell) {
            return cell;
        }
        LOG.warning("discovery: 'pod_group' of " + uid + " is no number");
        return null;
    }
}
