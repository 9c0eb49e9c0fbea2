package tinlink.cluster.consensus;

import tinlink.storage.DurableLog;

import java.io.IOException;
import java.nio.file.Path;

/** The records of a {@link RaftStateStore} on a disk, in the folder's log {@code agreement}. */
public final class DiskRecordLog implements RaftStateStore.RecordLog, java.io.Closeable {
    private final DurableLog durableLog;

    /** Opens the folder\'s log, and makes it where there is none. */
    public DiskRecordLog(Path folder, long maxBytes) throws IOException {
        durableLog = new DurableLog(folder.resolve("agreement"), maxBytes);
    }

    /** What was found on the disk; once. */
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
