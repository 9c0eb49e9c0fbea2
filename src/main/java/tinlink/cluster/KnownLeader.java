package tinlink.cluster;

/**
 * The router that leads as far as this one knows, from its own replica or, on a learner, from the answer of a
 * voter. Event loop's thread only.
 */
final class KnownLeader {
    private String router = "";

    /** Returns the leader's name; empty if no leader is known. */
    String router() {
        return router;
    }

    boolean isKnown() {
        return !router.isEmpty();
    }

    /** @param newLeader the leader's name; empty if no leader is known any more */
    void set(String newLeader) {
        router = newLeader;
    }
}
