package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.http2.Http2NodeClient;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A data node as this router reaches it: its address and the connections to it. */
final class NodeEndpoint {
    final DataNode node;
    InetSocketAddress address;
    /** On the list; null for a router of another site. */
    String uid;
    /** Attempts whose outcome is not known. */
    int attemptsInFlight;
    /** Over HTTP/2; null where the node does not offer it, or nothing has gone there yet. */
    Http2NodeClient http2;
    /** Sends to a router of another site; null for a data node of this one. */
    Consumer<SentAttempt> remoteSender;
    /** Open or connecting; each leaves as it closes. */
    final List<NodeConnection> connections = new ArrayList<>();

    NodeEndpoint(DataNode node) {
        this.node = node;
    }
}
