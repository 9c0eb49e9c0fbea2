package tinlink.router;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tinlink.decision.DataNode;

/** A data node as this router reaches it: its address and the connections to it. */
final class Target {
    final DataNode node;
    InetSocketAddress address;
    /** Open or coming up; each leaves as it ends. */
    final List<NodeLink> links = new ArrayList<>();

    Target(DataNode node) {
        this.node = node;
    }
}
