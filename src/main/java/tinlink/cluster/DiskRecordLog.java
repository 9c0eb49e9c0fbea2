package tinlink.cluster;

import tinlink.store.Store;

import java.io.IOException;
import java.nio.file.Path;

/** What a voter keeps, on a disk. */
final class DiskRecordLog implements RaftStateStore.RecordLog, java.io.Closeable {
    private final Store store;

    DiskRecordLog(Path folder, long maxBytes) throws IOException {
        store = new Store(folder.resolve("agreement"), maxBytes);
    }

    /** As it was found. */
    RaftStateStore openStateStore() throws IOException {
        RaftStateStore stateStore = new RaftStateStore(this, store.snapshot(), store.records());
        store.read();
        return stateStore;
    }

    @Override
    public void append(byte[] record) throws IOException {
        store.append(record);
    }

    @Override
    public void sync() throws IOException {
        store.sync();
    }

    @Override
    public void compactTo(byte[] state) throws IOException {
        store.snapshot(state);
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
