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
 * The persistent identity of this process: the router's name, the number of starts with its data folder, and
 * the id of the disk that the folder stands for. The start count is incremented and synced to disk before the
 * router sends its first message. Event loop's thread only.
 */
public final class Identity implements Closeable {
    private static final long MAX_BYTES = 1 << 16;
    private static final int COMPACT_BYTES = 1 << 12;
    /** Start count, disk id, and whether the disk replaces a lost one; the router's name follows. */
    private static final int FIXED_BYTES = 2 * Long.BYTES + 1;

    private final DurableLog durableLog;
    /** The incarnation of this process. */
    public final Incarnation incarnation;
    /** The disk's id, drawn when the folder was first used. */
    public final long diskId;
    /** Whether the folder was empty: a new disk, which has never voted. */
    public final boolean firstStart;
    /**
     * Whether the disk replaces a lost one, whose votes and confirmations neither bind it nor count for it.
     */
    private boolean replacesLostDisk;

    private long startCount;

    /**
     * Reads the identity from the folder, creating both if missing, and counts this start.
     *
     * @param name the router's name
     * @throws IOException if the folder can't be used or belongs to another router
     */
    public Identity(Path folder, String name) throws IOException {
        durableLog = new DurableLog(folder.resolve("self"), MAX_BYTES);
        List<byte[]> records = durableLog.recoveredRecords();
        byte[] last = records.isEmpty()
                ? durableLog.recoveredSnapshot()
                : records.get(records.size() - 1);
        SecureRandom random = new SecureRandom();
        firstStart = last == null;
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
                throw new IOException("data folder " + folder + " belongs to router "
                        + new String(storedName, UTF_8) + ", not to router "
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

    /** Whether this disk replaces one that was lost. */
    public boolean replacesLostDisk() {
        return replacesLostDisk;
    }

    /**
     * Records that this disk replaces a lost one: from the next start on, the router is a later incarnation
     * than any that others know, and this disk votes, if at all, under its own id.
     *
     * @param knownStartCount the highest start count of the router that others know
     * @throws IOException if the record can't be written
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
