package tinlink.experiment.scale;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a router process has used since its start, by the clocks and counters of its JVM and of the
 * kernel.
 *
 * @param loopMs processor time of the thread that owns all state, milliseconds
 * @param pollerMs of the channel group's thread, which waits for sockets and completes reads and writes
 * @param collectorMs of the JVM's own operations, which with the serial collector include all collections
 * @param otherMs of all other threads, the compiler's among them, also of those that have ended
 * @param allocatedBytes by Java threads; given by the JVM in steps of a hundredth or finer
 * @param readBytes taken from sockets and files
 * @param writtenBytes handed to sockets and files
 * @param systemCalls reads and writes together
 */
record ServingUsage(
        double loopMs,
        double pollerMs,
        double collectorMs,
        double otherMs,
        long allocatedBytes,
        long readBytes,
        long writtenBytes,
        long systemCalls) {
    private static final Pattern THREAD = Pattern.compile(
            "^\"([^\"]+)\".* cpu=([0-9.]+)ms elapsed=[0-9.]+s" + "(?: allocated=([0-9]+)([BKMG]))?",
            Pattern.MULTILINE);
    private static final Pattern COUNTER =
            Pattern.compile("^([a-z_]+): ([0-9]+)$", Pattern.MULTILINE);

    /**
     * Reads what JVM and kernel print.
     *
     * @param threads what {@code jcmd Thread.print -e} prints
     * @param io the kernel's counters of the process, as in /proc/PID/io
     * @param process processor time of the whole process, also of threads that have ended
     */
    static ServingUsage of(String threads, String io, Duration process) {
        double loop = 0;
        double poller = 0;
        double collector = 0;
        long allocated = 0;
        Matcher t = THREAD.matcher(threads);
        while (t.find()) {
            double ms = Double.parseDouble(t.group(2));
            String name = t.group(1);
            if (name.equals("main")) {
                loop += ms;
            } else if (name.startsWith("Thread-")) {
                poller += ms;
            } else if (name.equals("VM Thread")) {
                collector += ms;
            }
            allocated += t.group(3) == null ? 0 : bytes(Long.parseLong(t.group(3)), t.group(4));
        }
        // The compiler's threads come and go, and take their clocks with them.
        double other = process.toNanos() / 1e6 - loop - poller - collector;
        return new ServingUsage(
                loop,
                poller,
                collector,
                other,
                allocated,
                counter(io, "rchar"),
                counter(io, "wchar"),
                counter(io, "syscr") + counter(io, "syscw"));
    }

    private static long bytes(long count, String unit) {
        return switch (unit) {
            case "K" -> count << 10;
            case "M" -> count << 20;
            case "G" -> count << 30;
            default -> count;
        };
    }

    private static long counter(String io, String name) {
        Matcher c = COUNTER.matcher(io);
        while (c.find()) {
            if (c.group(1).equals(name)) {
                return Long.parseLong(c.group(2));
            }
        }
        throw new IllegalArgumentException("no counter " + name + " in " + io);
    }

    ServingUsage minus(ServingUsage before) {
        return new ServingUsage(
                loopMs - before.loopMs,
                pollerMs - before.pollerMs,
                collectorMs - before.collectorMs,
                otherMs - before.otherMs,
                allocatedBytes - before.allocatedBytes,
                readBytes - before.readBytes,
                writtenBytes - before.writtenBytes,
                systemCalls - before.systemCalls);
    }

    /** Processor time of all threads, milliseconds. */
    double processorMs() {
        return loopMs + pollerMs + collectorMs + otherMs;
    }
}
