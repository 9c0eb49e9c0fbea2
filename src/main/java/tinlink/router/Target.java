package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.http2.Http2NodeClient;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A data node as this router reaches it: its address and the connections to it. */
final class Target {
    final DataNode node;
    InetSocketAddress address;
    /** On the list; null for a router of another site. */
    String uid;
    /** Part calls whose outcome is not known. */
    int open;
    /** Over HTTP/2; null where the node does not offer it, or nothing has gone there yet. */
    Http2NodeClient streams;
    /** Takes what goes to a router of another site; null for a data node of this one. */
    Consumer<Sent> far;
    /** Open or coming up; each leaves as it ends. */
    final List<NodeLink> links = new ArrayList<>();

    Target(DataNode node) {
        this.node = node;
    }
}
