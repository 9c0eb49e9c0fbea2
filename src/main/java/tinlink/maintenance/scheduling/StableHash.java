package tinlink.maintenance.scheduling;

/**
 * A 64-bit hash of text that is the same in all routers: FNV-1a, then the finish of MurmurHash3, so that
 * sums and comparisons of hashes spread evenly.
 */
final class StableHash {
    /** What a hash begins with. */
    static final long START = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Takes more text into a hash that is not finished. */
    static long append(long hash, String text) {
        long all = hash;
        for (int i = 0; i < text.length(); i++) {
            all = (all ^ text.charAt(i)) * FNV_PRIME;
        }
        return all;
    }

    /** The hash of all that was appended. */
    static long finish(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
