package tinlink.cluster.consensus;

import tinlink.storage.DurableLog;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Stores the records of a {@link RaftStateStore} on disk, in a {@link DurableLog} in the subfolder
 * {@code agreement} of the router's folder.
 */
public final class DiskRecordLog implements RaftStateStore.RecordLog, java.io.Closeable {
    private final DurableLog durableLog;

    /**
     * Opens the log, and creates it if there is none.
     *
     * @param folder the router's folder
     * @param maxBytes bound on the size of the log without its snapshot
     */
    public DiskRecordLog(Path folder, long maxBytes) throws IOException {
        durableLog = new DurableLog(folder.resolve("agreement"), maxBytes);
    }

    /**
     * Restores the state store from what was found on the disk. To be called once, since the data that was
     * read is released.
     */
    public RaftStateStore openStateStore() throws IOException {
        RaftStateStore stateStore = new RaftStateStore(
                this, durableLog.recoveredSnapshot(), durableLog.recoveredRecords());
        durableLog.releaseRecovered();
        return stateStore;
    }

    @Override
    public void append(byte[] record) throws IOException {
        durableLog.append(record);
    }

    @Override
    public void sync() throws IOException {
        durableLog.sync();
    }

    @Override
    public void compactTo(byte[] state) throws IOException {
        durableLog.writeSnapshot(state);
    }

    @Override
    public void close() throws IOException {
        durableLog.close();
    }
}
