package tinlink.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The arrays that rings are made of, by powers of two. It keeps a bounded number of bytes. */
final class Rings {
    static final int LEAST = 512;
    private static final int KEPT_BYTES = 1 << 20;
    private final List<ArrayDeque<byte[]>> free = new ArrayList<>();
    private int kept;

    Rings() {
        for (int i = 0; i < Integer.SIZE; i++) {
            free.add(new ArrayDeque<>());
        }
    }

    byte[] take(int need) {
        int power = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(need, LEAST) - 1);
        byte[] old = free.get(power).poll();
        kept -= old == null ? 0 : old.length;
        return old == null ? new byte[1 << power] : old;
    }

    /** What is over the bound goes to the collector. */
    void give(byte[] bytes) {
        if (kept + bytes.length <= KEPT_BYTES) {
            kept += bytes.length;
            free.get(Integer.numberOfTrailingZeros(bytes.length)).push(bytes);
        }
    }
}
