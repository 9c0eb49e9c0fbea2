package tinlink.experiment.scale;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a router process holds, in megabytes.
 *
 * @param heapMb live objects, after a full collection
 * @param directMb memory outside the heap that channels use; tracked by the JVM only where it was asked to
 * @param residentMb of the whole process, as the kernel counts it; buffers of sockets are not in it
 */
record ServingMemory(double heapMb, double directMb, double residentMb) {
    private static final double KB_IN_MB = 1024;
    private static final Pattern GENERATION =
            Pattern.compile("generation +total [0-9]+K, used ([0-9]+)K");
    private static final Pattern OTHER =
            Pattern.compile("Other \\(reserved=[0-9]+KB, committed=([0-9]+)KB\\)");
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+([0-9]+) kB");

    /**
     * @param heap what {@code jcmd GC.heap_info} prints with the serial collector
     * @param nativeMemory what {@code jcmd VM.native_memory summary} prints
     * @param status the kernel's, as in /proc/PID/status
     */
    static ServingMemory of(String heap, String nativeMemory, String status) {
        return new ServingMemory(
                sum(GENERATION, heap), sum(OTHER, nativeMemory), sum(RESIDENT, status));
    }

    private static double sum(Pattern pattern, String text) {
        double all = 0;
        boolean any = false;
        Matcher m = pattern.matcher(text);
        while (m.find()) {
            all += Long.parseLong(m.group(1)) / KB_IN_MB;
            any = true;
        }
        if (!any) {
            throw new IllegalArgumentException("no figure of the form " + pattern + " in: " + text);
        }
        return all;
    }
}
