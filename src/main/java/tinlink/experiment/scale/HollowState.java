package tinlink.experiment.scale;

import java.util.Map;

/** How a hollow router stands, as its process tells the one that measures: a JSON object. */
final class HollowState {
    public String name;
    /** Its start is agreed on. */
    public boolean known;

    public String leader;
    public boolean leads;
    /** Routers that it holds to be alive, itself counted. */
    public int alive;

    public int machines;
    public int enrolled;
    public long epoch;
    public long heardUpTo;
    public String openChange;
    /** Versions that had taken hold while lookups were still taken there by the one before. */
    public int tookOldTooLate;

    public int connections;
    /** By kind of message: messages in, bytes in, messages out, bytes out, since its start. */
    public Map<String, long[]> traffic;
    /** By thread, nanoseconds since its start. */
    public Map<String, Long> threadCpuNs;

    long threadsNs() {
        return threadCpuNs.values().stream().mapToLong(Long::longValue).sum();
    }

    long messagesIn() {
        return sum(0);
    }

    long bytesIn() {
        return sum(1);
    }

    long messagesOut() {
        return sum(2);
    }

    long bytesOut() {
        return sum(3);
    }

    private long sum(int column) {
        return traffic.values().stream().mapToLong(c -> c[column]).sum();
    }
}
