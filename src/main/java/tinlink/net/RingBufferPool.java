package tinlink.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A pool of arrays for ring buffers, grouped by powers of two and bounded in total bytes. Used on
 * the event loop's thread only.
 */
final class RingBufferPool {
    static final int MIN_BYTES = 512;
    private static final int MAX_POOLED_BYTES = 1 << 20;
    private final List<ArrayDeque<byte[]>> free = new ArrayList<>();
    private int pooledBytes;

    RingBufferPool() {
        for (int i = 0; i < Integer.SIZE; i++) {
            free.add(new ArrayDeque<>());
        }
    }

    byte[] acquire(int minBytes) {
        int power = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(minBytes, MIN_BYTES) - 1);
        byte[] pooled = free.get(power).poll();
        pooledBytes -= pooled == null ? 0 : pooled.length;
        return pooled == null ? new byte[1 << power] : pooled;
    }

    /**
     * Returns an array to the pool, or leaves it to the garbage collector if the pool would exceed
     * its bound.
     */
    void release(byte[] bytes) {
        if (pooledBytes + bytes.length <= MAX_POOLED_BYTES) {
            pooledBytes += bytes.length;
            free.get(Integer.numberOfTrailingZeros(bytes.length)).push(bytes);
        }
    }
}
