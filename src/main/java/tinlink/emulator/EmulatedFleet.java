package tinlink.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What routers in processes of their own find around them: data nodes in zones, and for each router
 * a discovery of its own that tells it of the nodes by lines of its own. So the way between any
 * router and any node, or its discovery, fails alone.
 */
public final class EmulatedFleet {
    /** A data node and where it stands. */
    public record Spot(String uid, int cell, String zone) {}

    /** One router's way to everything. */
    public final class View {
        public final EmulatedDiscovery discovery;
        public final EmulatedLine toDiscovery;
        /** By node. */
        public final Map<String, EmulatedLine> toNodes = new LinkedHashMap<>();

        private View() throws IOException {
            discovery = new EmulatedDiscovery(ground);
            toDiscovery = line();
            toDiscovery.to(discovery.address());
            for (Spot s : spots.values()) {
                EmulatedLine l = line();
                l.to(nodes.get(s.uid()).address());
                toNodes.put(s.uid(), l);
                tell(s.uid(), "in_service");
            }
        }

        /**
         * Tells the state of a node.
         *
         * @param state as discovery says it
         */
        public void tell(String uid, String state) {
            discovery.tell(
                    nodes.get(uid), toNodes.get(uid).address(), spots.get(uid).zone(), state);
        }
    }

    private final Ground ground;
    private final EmulatedLine.Way way;
    private long seed;
    public final Map<String, Spot> spots = new LinkedHashMap<>();
    public final Map<String, EmulatedNode> nodes = new LinkedHashMap<>();
    private final List<View> views = new ArrayList<>();

    /** @param way of each line, in both directions */
    public EmulatedFleet(
            Ground ground,
            Runs runs,
            List<Spot> all,
            EmulatedNode.Work work,
            EmulatedLine.Way way,
            long seed)
            throws IOException {
        this.ground = ground;
        this.way = way;
        this.seed = seed;
        for (Spot s : all) {
            spots.put(s.uid(), s);
            nodes.put(
                    s.uid(), new EmulatedNode(ground, runs, s.uid(), s.cell(), work, this.seed++));
        }
    }

    /** A line that leads nowhere yet. */
    public EmulatedLine line() {
        return ground.on(() -> {
            try {
                return new EmulatedLine(ground, way, way, seed++);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** One more router's. */
    public View view() {
        return ground.on(() -> {
            try {
                View v = new View();
                views.add(v);
                return v;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Those of all routers, in the order in which they were made. */
    public List<View> views() {
        return List.copyOf(views);
    }

    /** A node's place in all lists, at once. */
    public void tell(String uid, String state) {
        ground.run(() -> views.forEach(v -> v.tell(uid, state)));
    }

    /** As routers write it. */
    public static String address(InetSocketAddress at) {
        return "127.0.0.1:" + at.getPort();
    }
}
