package tinlink.cluster;

import static java.nio.charset.StandardCharsets.UTF_8;

import tinlink.cluster.membership.Incarnation;
import tinlink.storage.DurableLog;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;

/**
 * Who this process is: a router's name, how often it was started with its folder, a nonce, and the disk
 * that the folder is. Counted up and synced before anything is sent to anybody. Event loop's thread only.
 */
public final class Identity implements Closeable {
    private static final long MAX_BYTES = 1 << 16;
    private static final int COMPACT_BYTES = 1 << 12;
    /** Start count, disk, and whether it takes the place of a lost one; the name follows. */
    private static final int FIXED_BYTES = 2 * Long.BYTES + 1;

    private final DurableLog durableLog;
    /** This process. */
    public final Incarnation incarnation;
    /** The disk's number, drawn as the folder was first used. */
    public final long diskId;
    /** Nothing was there: a new disk, which has never voted. */
    public final boolean isFirstStart;
    /** What the lost one said is not held against it, nor for it. */
    private boolean replacesLostDisk;

    private long startCount;

    /**
     * Counts this start.
     *
     * @param folder made where it is not there
     * @param name the router's
     * @throws IOException where the folder can't be used, or belongs to another router
     */
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
            if (!new String(storedName, UTF_8).equals(name)) {
                durableLog.close();
                throw new IOException(folder + ": it belongs to router "
                        + new String(storedName, UTF_8) + ", not "
                        + name);
            }
        }
        diskId = storedDiskId;
        persist(name);
        durableLog.releaseRecovered();
        incarnation = new Incarnation(name, startCount, random.nextLong());
    }

    private void persist(String name) throws IOException {
        byte[] nameBytes = name.getBytes(UTF_8);
        byte[] record = ByteBuffer.allocate(FIXED_BYTES + nameBytes.length)
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

    /** Whether it takes the place of a disk that was lost. */
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
