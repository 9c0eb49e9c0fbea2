package tinlink.cluster;

import tinlink.cluster.membership.Incarnation;
import tinlink.storage.DurableLog;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;

/**
 * Who this process is: a router's name, how often it was started with its folder, a word by chance,
 * and the disk that the folder is. Counted up and synced before anything is said to anybody.
 */
public final class Identity implements Closeable {
    private static final long MAX_BYTES = 1 << 16;
    private static final int COMPACT_BYTES = 1 << 12;
    private final DurableLog durableLog;
    public final Incarnation incarnation;
    public final long diskId;
    /** Nothing was there: a new disk, which has never voted. */
    public final boolean isFirstStart;
    /** It stands for one that was lost: what that one said is not held against it, nor for it. */
    private boolean replacesLostDisk;

    private long startCount;

    public Identity(Path folder, String name) throws IOException {
        durableLog = new DurableLog(folder.resolve("self"), MAX_BYTES);
        List<byte[]> records = durableLog.recoveredRecords();
        byte[] last = records.isEmpty()
                ? durableLog.recoveredSnapshot()
                : records.get(records.size() - 1);
        SecureRandom random = new SecureRandom();
        isFirstStart = last == null;
        startCount = 1;
        long storedDiskId = random.nextLong() & Long.MAX_VALUE;
        if (last != null) {
            ByteBuffer buffer = ByteBuffer.wrap(last);
            startCount = buffer.getLong() + 1;
            storedDiskId = buffer.getLong();
            replacesLostDisk = buffer.get() == 1;
            byte[] storedName = new byte[buffer.remaining()];
            buffer.get(storedName);
            if (!new String(storedName, java.nio.charset.StandardCharsets.UTF_8).equals(name)) {
                durableLog.close();
                throw new IOException(folder + ": it belongs to router "
                        + new String(storedName, java.nio.charset.StandardCharsets.UTF_8) + ", not "
                        + name);
            }
        }
        diskId = storedDiskId;
        persist(name);
        durableLog.releaseRecovered();
        incarnation = new Incarnation(name, startCount, random.nextLong());
    }

    private void persist(String name) throws IOException {
        byte[] nameBytes = name.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(17 + nameBytes.length)
                .putLong(startCount)
                .putLong(diskId)
                .put((byte) (replacesLostDisk ? 1 : 0))
                .put(nameBytes)
                .array();
        if (durableLog.bytesSinceSnapshot() > COMPACT_BYTES) {
            durableLog.writeSnapshot(record);
        } else {
            durableLog.append(record);
            durableLog.sync();
        }
    }

    public boolean replacesLostDisk() {
        return replacesLostDisk;
    }

    /**
     * The disk before this one has been lost: from its next start on the router is a later incarnation
     * than any that others know, and this disk votes, if ever, under its own number.
     */
    public void replaceLostDisk(long knownStartCount) throws IOException {
        replacesLostDisk = true;
        startCount = Math.max(startCount, knownStartCount);
        persist(incarnation.router());
    }

    @Override
    public void close() throws IOException {
        durableLog.close();
    }
}
