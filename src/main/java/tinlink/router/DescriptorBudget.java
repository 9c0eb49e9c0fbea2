package tinlink.router;

/**
 * The count of open descriptors against the limit. A quarter is kept back for data nodes and an
 * eighth for the process itself, so that clients alone never use up what their lookups need.
 */
final class DescriptorBudget {
    private final int limit;
    private final int forClients;
    private final int forNodes;
    private int clients;
    private int nodes;

    DescriptorBudget(int limit) {
        this.limit = limit;
        forClients = limit - limit / 4 - limit / 8;
        forNodes = limit - limit / 8;
    }

    /**
     * One more may be accepted: it shows that a client wants a connection, and an idle one is closed for
     * it.
     */
    boolean hasForClient() {
        return clients <= forClients;
    }

    boolean hasForNode() {
        return clients + nodes < forNodes;
    }

    /**
     * Clients have a third of the limit for what they ask. Danger: those that ask once and stay
     * would hold all of it until their time is over, and the others find no connection; half of it
     * may stand idle.
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
