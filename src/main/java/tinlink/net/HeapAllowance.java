package tinlink.net;

/** The heap that one message may take. Not thread-safe. */
public final class HeapAllowance implements HeapCharge {
    private final long limitBytes;
    private long usedBytes;

    /** @param limitBytes the estimated size of all objects of the message, in bytes */
    public HeapAllowance(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    @Override
    public void add(long bytes) throws MessageRejectedException {
        usedBytes += bytes;
        if (isExceeded()) {
            throw new MessageRejectedException(
                    413, "the message takes more than " + limitBytes + " bytes of memory");
        }
    }

    /** Returns whether an object has been rejected. */
    public boolean isExceeded() {
        return usedBytes > limitBytes;
    }

    /** Returns the estimated size of the objects so far, in bytes. */
    public long usedBytes() {
        return usedBytes;
    }
}
