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
    public record NodePlacement(String uid, int cell, String zone) {}

    /** One router's way to everything. */
    public final class RouterView {
        public final EmulatedDiscovery discovery;
        public final EmulatedLink toDiscovery;
        /** By node. */
        public final Map<String, EmulatedLink> toNodes = new LinkedHashMap<>();

        private RouterView() throws IOException {
            discovery = new EmulatedDiscovery(emulatorLoop);
            toDiscovery = newLink();
            toDiscovery.target(discovery.address());
            for (NodePlacement s : placements.values()) {
                EmulatedLink l = newLink();
                l.target(nodes.get(s.uid()).address());
                toNodes.put(s.uid(), l);
                publish(s.uid(), "in_service");
            }
        }

        /**
         * Tells the state of a node.
         *
         * @param state as discovery says it
         */
        public void publish(String uid, String state) {
            discovery.publish(
                    nodes.get(uid),
                    toNodes.get(uid).address(),
                    placements.get(uid).zone(),
                    state);
        }
    }

    private final EmulatorLoop emulatorLoop;
    private final EmulatedLink.LinkConditions way;
    private long seed;
    public final Map<String, NodePlacement> placements = new LinkedHashMap<>();
    public final Map<String, EmulatedNode> nodes = new LinkedHashMap<>();
    private final List<RouterView> views = new ArrayList<>();

    /** @param way of each line, in both directions */
    public EmulatedFleet(
            EmulatorLoop emulatorLoop,
            RunLog runLog,
            List<NodePlacement> all,
            EmulatedNode.ServiceModel work,
            EmulatedLink.LinkConditions way,
            long seed)
            throws IOException {
        this.emulatorLoop = emulatorLoop;
        this.way = way;
        this.seed = seed;
        for (NodePlacement s : all) {
            placements.put(s.uid(), s);
            nodes.put(
                    s.uid(),
                    new EmulatedNode(emulatorLoop, runLog, s.uid(), s.cell(), work, this.seed++));
        }
    }

    /** A line that leads nowhere yet. */
    public EmulatedLink newLink() {
        return emulatorLoop.call(() -> {
            try {
                return new EmulatedLink(emulatorLoop, way, way, seed++);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** One more router's. */
    public RouterView addRouterView() {
        return emulatorLoop.call(() -> {
            try {
                RouterView v = new RouterView();
                views.add(v);
                return v;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Those of all routers, in the order in which they were made. */
    public List<RouterView> views() {
        return List.copyOf(views);
    }

    /** A node's place in all lists, at once. */
    public void publish(String uid, String state) {
        emulatorLoop.run(() -> views.forEach(v -> v.publish(uid, state)));
    }

    /** As routers write it. */
    public static String address(InetSocketAddress at) {
        return "127.0.0.1:" + at.getPort();
    }
}
