package tinlink.net;

/**
 * Accounts for the heap that a parser is about to fill with objects built from a peer's bytes. A
 * few bytes can become an object of many times their size, so a limit on the bytes received does
 * not limit the heap.
 */
@FunctionalInterface
public interface HeapCharge {
    /** Accepts everything; for input of the operator, such as configuration files. */
    HeapCharge UNLIMITED = bytes -> {};

    /**
     * Adds to the account of the message that is being read.
     *
     * @param bytes the estimated size of the new objects, as in {@link ObjectSizes}
     * @throws MessageRejectedException if the message may take no more heap
     */
    void add(long bytes) throws MessageRejectedException;
}
