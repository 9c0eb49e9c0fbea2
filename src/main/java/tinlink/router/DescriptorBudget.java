package tinlink.router;

/**
 * Counts open file descriptors against the process limit. A quarter is reserved for connections to
 * data nodes and an eighth for the process itself, so that client connections cannot exhaust the
 * descriptors that their own lookups need.
 */
final class DescriptorBudget {
    private final int limit;
    private final int clientLimit;
    private final int nodeLimit;
    private int clients;
    private int nodes;

    DescriptorBudget(int limit) {
        this.limit = limit;
        clientLimit = limit - limit / 4 - limit / 8;
        nodeLimit = limit - limit / 8;
    }

    /**
     * Whether a client connection can be accepted. The comparison admits one connection above the
     * clients' share: it shows that a client is waiting, and an idle connection is closed in exchange.
     */
    boolean hasForClient() {
        return clients <= clientLimit;
    }

    boolean hasForNode() {
        return clients + nodes < nodeLimit;
    }

    /**
     * Whether connections should be closed after their next response. Clients have a third of the limit
     * for their requests, and half of that third may be idle. Otherwise clients that send one request and
     * stay connected would hold all of it until the idle timeout, and other clients could not connect.
     */
    boolean hasTooManyIdle(int idleClients) {
        return idleClients > limit / 6;
    }

    void clientOpened() {
        clients++;
    }

    void clientClosed() {
        clients--;
    }

    void nodeOpened() {
        nodes++;
    }

    void nodeClosed() {
        nodes--;
    }
}
