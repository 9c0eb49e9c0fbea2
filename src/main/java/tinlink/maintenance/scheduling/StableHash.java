package tinlink.maintenance.scheduling;

/**
 * A 64-bit hash of text that is the same in all routers and builds: FNV-1a, followed by the finalizer of
 * MurmurHash3, which makes sums and comparisons of hashes evenly distributed.
 */
final class StableHash {
    /** The hash of no text: the FNV-1a offset basis. */
    static final long START = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Returns the hash extended by more text; {@link #finish} completes it. */
    static long append(long hash, String text) {
        long extended = hash;
        for (int i = 0; i < text.length(); i++) {
            extended = (extended ^ text.charAt(i)) * FNV_PRIME;
        }
        return extended;
    }

    /** Returns the completed hash of all appended text. */
    static long finish(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
