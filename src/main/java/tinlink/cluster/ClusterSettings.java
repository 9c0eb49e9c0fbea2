package tinlink.cluster;

import tinlink.cluster.transport.PeerConnections;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;

/**
 * What a {@link ClusterNode} is configured with. Times are microseconds.
 *
 * @param seed of the draws of chance: which member is probed next, whom a learner asks, election timeouts
 */
public record ClusterSettings(
        LocalRouter local, KnownRouters routers, Timing timing, Limits limits, long seed) {

    /**
     * Which cluster, and which router of it this one is.
     *
     * @param advertisedAddress where others reach it, host and port; empty for the loopback address and the
     *     port that it listens at
     */
    public record LocalRouter(
            String cluster,
            String router,
            InetSocketAddress listenAddress,
            String advertisedAddress) {}

    /**
     * The routers that are known to begin with.
     *
     * @param addresses by router where it is reached from here, read anew at each use; others are reached
     *     where they say
     * @param initialVoters who votes at the very first start of the cluster
     */
    public record KnownRouters(Map<String, String> addresses, Set<String> initialVoters) {}

    /**
     * The paces of membership, Raft and connections.
     *
     * @param probeIntervalUs between two probes
     * @param indirectProbes members that are asked to probe one that does not answer
     * @param librarySecondUs how long one of the Raft library's seconds is; a leader is missed after four
     * @param handshakeTimeoutUs within which a connection has to be authenticated
     * @param idleTimeoutUs after which a connection without messages is closed
     */
    public record Timing(
            long probeIntervalUs,
            int indirectProbes,
            long librarySecondUs,
            long handshakeTimeoutUs,
            long idleTimeoutUs) {}

    /**
     * Bounds.
     *
     * @param maxRouters that are known at a time
     * @param maxUnauthenticatedConnections at a time; the oldest is closed for a further one
     * @param maxDiskBytes of the log with its snapshots
     * @param snapshotIntervalLines agreed lines between two snapshots
     */
    public record Limits(
            int maxRouters,
            int maxUnauthenticatedConnections,
            long maxDiskBytes,
            int snapshotIntervalLines) {
        /** With as many unauthenticated connections as where nothing is configured. */
        public Limits(int maxRouters, long maxDiskBytes, int snapshotIntervalLines) {
            this(
                    maxRouters,
                    PeerConnections.MAX_UNAUTHENTICATED_CONNECTIONS,
                    maxDiskBytes,
                    snapshotIntervalLines);
        }
    }
}
