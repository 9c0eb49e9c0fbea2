package tinlink.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The buffered bytes of one direction of a connection. The buffer starts small, grows as needed and
 * shrinks when it is empty.
 */
public final class RingBuffer {
    private final RingBufferPool pool;
    private byte[] bytes;
    private int readIndex;
    private int size;
    private boolean pinned;

    RingBuffer(RingBufferPool pool) {
        this.pool = pool;
        bytes = pool.acquire(RingBufferPool.MIN_BYTES);
    }

    public int size() {
        return size;
    }

    /** Returns the size of the array, in bytes; 0 after the release. */
    public int capacity() {
        return bytes == null ? 0 : bytes.length;
    }

    int freeBytes() {
        return bytes.length - size;
    }

    /** Returns the next byte without removing it. */
    public byte peek() {
        return bytes[readIndex];
    }

    public byte take() {
        byte b = bytes[readIndex];
        readIndex = (readIndex + 1) & (bytes.length - 1);
        size--;
        return b;
    }

    /**
     * Removes up to {@code maxBytes} contiguous bytes and returns a view of them that is valid
     * until the next call.
     */
    public ByteBuffer takeContiguous(int maxBytes) {
        int count = Math.min(Math.min(maxBytes, size), bytes.length - readIndex);
        ByteBuffer contiguous = ByteBuffer.wrap(bytes, readIndex, count);
        readIndex = (readIndex + count) & (bytes.length - 1);
        size -= count;
        return contiguous;
    }

    public RingBuffer put(byte[] source) {
        return put(source, 0, source.length);
    }

    public RingBuffer put(byte[] source, int from, int length) {
        ensureCapacity(size + length);
        int tail = (readIndex + size) & (bytes.length - 1);
        int first = Math.min(length, bytes.length - tail);
        System.arraycopy(source, from, bytes, tail, first);
        System.arraycopy(source, from + first, bytes, 0, length - first);
        size += length;
        return this;
    }

    public RingBuffer put(String text) {
        return put(text.getBytes(StandardCharsets.UTF_8));
    }

    void ensureCapacity(int capacity) {
        if (capacity > bytes.length) {
            resize(capacity);
        }
    }

    private void resize(int capacity) {
        byte[] resized = pool.acquire(capacity);
        int first = Math.min(size, bytes.length - readIndex);
        System.arraycopy(bytes, readIndex, resized, 0, first);
        System.arraycopy(bytes, 0, resized, first, size - first);
        if (!pinned) {
            pool.release(bytes);
        }
        bytes = resized;
        readIndex = 0;
    }

    /**
     * Sets whether a write in progress still reads the array. Such an array must not be returned to
     * the pool or used for another connection.
     */
    void setPinned(boolean isPinned) {
        pinned = isPinned;
    }

    /**
     * Shrinks an empty buffer to the minimum size. Not to be called while a read or write is in
     * progress.
     */
    void shrink() {
        if (size == 0 && bytes.length > RingBufferPool.MIN_BYTES) {
            resize(RingBufferPool.MIN_BYTES);
        }
        readIndex = size == 0 ? 0 : readIndex;
    }

    /** Returns the buffered bytes for a gathering write. */
    ByteBuffer[] readableSpans() {
        return spans(readIndex, size);
    }

    /** Returns the free space for a scattering read. */
    ByteBuffer[] writableSpans() {
        return spans((readIndex + size) & (bytes.length - 1), bytes.length - size);
    }

    private ByteBuffer[] spans(int from, int length) {
        int first = Math.min(length, bytes.length - from);
        ByteBuffer firstSpan = ByteBuffer.wrap(bytes, from, first);
        return first == length
                ? new ByteBuffer[] {firstSpan}
                : new ByteBuffer[] {firstSpan, ByteBuffer.wrap(bytes, 0, length - first)};
    }

    void bytesAppended(int count) {
        size += count;
    }

    void bytesConsumed(int count) {
        readIndex = (readIndex + count) & (bytes.length - 1);
        size -= count;
    }

    /** Returns the array to the pool; the buffer must not be used afterwards. */
    void release() {
        pool.release(bytes);
        bytes = null;
        size = 0;
    }
}
