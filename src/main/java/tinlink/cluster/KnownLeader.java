package tinlink.cluster;

/**
 * Which router leads, as far as this one knows: by its own replica, or by what a voter has told a learner.
 * Event loop's thread only.
 */
final class KnownLeader {
    private String router = "";

    /** Empty where none is known. */
    String router() {
        return router;
    }

    boolean isKnown() {
        return !router.isEmpty();
    }

    /** @param newLeader empty where none is known any more */
    void set(String newLeader) {
        router = newLeader;
    }
}
