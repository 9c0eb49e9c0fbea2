package tinlink.cluster;

import tinlink.cluster.transport.PeerConnections;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of a {@link ClusterNode}. Times are in microseconds.
 *
 * @param seed seed of the random draws: the order of probes, the voter that a learner asks, election timeouts
 */
public record ClusterSettings(
        LocalRouter local, KnownRouters routers, Timing timing, Limits limits, long seed) {

    /**
     * The identity and the addresses of this router.
     *
     * @param cluster the name of the cluster
     * @param router this router's name
     * @param listenAddress the address to accept connections of other routers at
     * @param advertisedAddress host and port at which others reach this router; empty for the loopback
     *     address with the port that it listens at
     */
    public record LocalRouter(
            String cluster,
            String router,
            InetSocketAddress listenAddress,
            String advertisedAddress) {}

    /**
     * The routers known from the configuration.
     *
     * @param addresses host and port by router, as reached from this router; read again at each use. A router
     *     that is missing here is reached at the address that it advertises
     * @param initialVoters the routers that vote at the first start of the cluster
     */
    public record KnownRouters(Map<String, String> addresses, Set<String> initialVoters) {}

    /**
     * The intervals and timeouts of membership, Raft and connections.
     *
     * @param probeIntervalUs interval between two probes of membership
     * @param indirectProbes number of members asked to probe a member that does not answer
     * @param librarySecondUs duration of one second of the Raft library; a follower misses its leader after
     *     four of them
     * @param handshakeTimeoutUs time within which a connection has to be authenticated
     * @param idleTimeoutUs time without messages after which a connection is closed
     */
    public record Timing(
            long probeIntervalUs,
            int indirectProbes,
            long librarySecondUs,
            long handshakeTimeoutUs,
            long idleTimeoutUs) {}

    /**
     * The bounds on memory, connections and disk.
     *
     * @param maxRouters maximum number of other routers known at a time
     * @param maxUnauthenticatedConnections maximum number of connections that are not yet authenticated;
     *     beyond it the oldest is closed
     * @param maxDiskBytes maximum size of the log with its snapshots
     * @param snapshotIntervalLines committed lines between two snapshots
     */
    public record Limits(
            int maxRouters,
            int maxUnauthenticatedConnections,
            long maxDiskBytes,
            int snapshotIntervalLines) {
        /** Creates limits with the default number of unauthenticated connections. */
        public Limits(int maxRouters, long maxDiskBytes, int snapshotIntervalLines) {
            this(
                    maxRouters,
                    PeerConnections.MAX_UNAUTHENTICATED_CONNECTIONS,
                    maxDiskBytes,
                    snapshotIntervalLines);
        }
    }
}
