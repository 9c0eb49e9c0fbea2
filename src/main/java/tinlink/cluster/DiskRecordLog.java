package tinlink.cluster;

import tinlink.storage.DurableLog;

import java.io.IOException;
import java.nio.file.Path;

/** What a voter keeps, on a disk. */
final class DiskRecordLog implements RaftStateStore.RecordLog, java.io.Closeable {
    private final DurableLog durableLog;

    DiskRecordLog(Path folder, long maxBytes) throws IOException {
        durableLog = new DurableLog(folder.resolve("agreement"), maxBytes);
    }

    /** As it was found. */
    RaftStateStore openStateStore() throws IOException {
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
