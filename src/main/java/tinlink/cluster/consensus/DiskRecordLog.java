package tinlink.cluster.consensus;

import tinlink.storage.DurableLog;

import java.io.IOException;
import java.nio.file.Path;

/** What a voter keeps, on a disk. */
public final class DiskRecordLog implements RaftStateStore.RecordLog, java.io.Closeable {
    private final DurableLog durableLog;

    /** Opens the folder\'s log, and makes it where there is none. */
    public DiskRecordLog(Path folder, long maxBytes) throws IOException {
        durableLog = new DurableLog(folder.resolve("agreement"), maxBytes);
    }

    /** As it was found. */
    public RaftStateStore openStateStore() throws IOException {
        RaftStateStore stateStore =
                new RaftStateStore(this, durableLog.snapshot(), durableLog.records());
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
        durableLog.snapshot(state);
    }

    @Override
    public void close() throws IOException {
        durableLog.close();
    }
}
