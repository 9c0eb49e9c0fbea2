package tinlink.experiment.simulation;

import tinlink.cluster.consensus.RaftStateStore;

import java.util.ArrayList;
import java.util.List;

/** A voter's disk in simulated time: what was written but not synced is lost with its process. */
final class SimulatedDisk implements RaftStateStore.RecordLog {
    byte[] state;
    List<byte[]> records = new ArrayList<>();
    /** How often a process has been started with this disk. */
    long starts;
    /** The number under which this disk votes. */
    long id;

    private final List<byte[]> unsynced = new ArrayList<>();

    @Override
    public void append(byte[] record) {
        unsynced.add(record);
    }

    @Override
    public void sync() {
        records.addAll(unsynced);
        unsynced.clear();
    }

    @Override
    public void compactTo(byte[] whole) {
        state = whole;
        records = new ArrayList<>();
        unsynced.clear();
    }

    /** The process that wrote to it is gone. */
    void crash() {
        unsynced.clear();
    }

    boolean isEmpty() {
        return state == null && records.isEmpty();
    }

    /** An old copy, to be put in the place of the disk later. */
    SimulatedDisk copy() {
        SimulatedDisk copy = new SimulatedDisk();
        copy.state = state;
        copy.records = new ArrayList<>(records);
        copy.starts = starts;
        copy.id = id;
        return copy;
    }
}
