package tinlink.router;

import tinlink.decision.DataNode;
import tinlink.http2.Http2NodeClient;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The address of a data node, and the connections of this router to it. */
final class NodeEndpoint {
    final DataNode node;
    /** The address in the endpoint list; null before the list has one, and for a router of another site. */
    InetSocketAddress address;
    /** The uid in the endpoint list; null for a router of another site. */
    String uid;
    /** The number of attempts to the data node that have no outcome yet. */
    int attemptsInFlight;
    /** The HTTP/2 client; null if the node doesn't offer HTTP/2 or nothing has been sent to it yet. */
    Http2NodeClient http2;
    /** Forwards attempts to a router of another site; null for a data node of this site. */
    Consumer<SentAttempt> remoteSender;
    /** The framed connections that are open or connecting; each is removed when it closes. */
    final List<NodeConnection> connections = new ArrayList<>();

    NodeEndpoint(DataNode node) {
        this.node = node;
    }
}
