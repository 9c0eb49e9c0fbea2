package tinlink.experiment.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one hollow router used between two looks at it.
 *
 * @param cpuMs of all its threads, with an equal share of what its process used besides them
 * @param byThread milliseconds, by the thread's name
 * @param byKind messages in, bytes in, messages out, bytes out, by kind of message
 * @param connections open at the end
 */
record ControlUse(
        String router,
        Role role,
        double seconds,
        double cpuMs,
        Map<String, Double> byThread,
        Map<String, long[]> byKind,
        int connections) {
    /** Which part it has in agreeing. */
    enum Role {
        ROUTER,
        VOTER,
        LEADER
    }

    /** Of all routers that were there at both looks, by name. */
    static Map<String, ControlUse> between(
            ControlPlan plan,
            Map<HollowProcess, HollowProcess.Figures> before,
            Map<HollowProcess, HollowProcess.Figures> after) {
        Map<String, ControlUse> all = new LinkedHashMap<>();
        after.forEach((process, end) -> {
            HollowProcess.Figures begin = before.get(process);
            Map<String, HollowState> was = new LinkedHashMap<>();
            begin.routers.forEach(s -> was.put(s.name, s));
            long threads = end.routers.stream()
                    .filter(s -> was.containsKey(s.name))
                    .mapToLong(s -> s.threadsNs() - was.get(s.name).threadsNs())
                    .sum();
            double shareMs = Math.max(0, end.processCpuNs - begin.processCpuNs - threads)
                    / 1e6
                    / end.routers.size();
            for (HollowState s : end.routers) {
                if (was.containsKey(s.name)) {
                    all.put(
                            s.name,
                            between(
                                    plan,
                                    was.get(s.name),
                                    s,
                                    (end.atNs - begin.atNs) / 1e9,
                                    shareMs));
                }
            }
        });
        return all;
    }

    private static ControlUse between(
            ControlPlan plan, HollowState was, HollowState is, double seconds, double shareMs) {
        Map<String, Double> byThread = new TreeMap<>();
        is.threadCpuNs.forEach((thread, ns) ->
                byThread.put(thread, (ns - was.threadCpuNs.getOrDefault(thread, 0L)) / 1e6));
        byThread.put("process", shareMs);
        Map<String, long[]> byKind = new TreeMap<>();
        is.traffic.forEach((kind, count) -> {
            long[] before = was.traffic.getOrDefault(kind, new long[count.length]);
            long[] more = new long[count.length];
            for (int i = 0; i < count.length; i++) {
                more[i] = count[i] - before[i];
            }
            byKind.put(kind, more);
        });
        Role role = is.leads
                ? Role.LEADER
                : plan.voterNames().contains(is.name) ? Role.VOTER : Role.ROUTER;
        double cpuMs =
                byThread.values().stream().mapToDouble(Double::doubleValue).sum();
        return new ControlUse(is.name, role, seconds, cpuMs, byThread, byKind, is.connections);
    }

    /** What goes beyond the use at rest; routers that were not there then are left out. */
    static Map<String, ControlUse> less(Map<String, ControlUse> all, Map<String, ControlUse> idle) {
        Map<String, ControlUse> beyond = new LinkedHashMap<>();
        all.forEach((name, use) -> {
            if (idle.containsKey(name)) {
                beyond.put(name, use.less(idle.get(name)));
            }
        });
        return beyond;
    }

    private ControlUse less(ControlUse idle) {
        double factor = seconds / idle.seconds;
        Map<String, Double> threads = new TreeMap<>();
        byThread.forEach((name, ms) ->
                threads.put(name, ms - factor * idle.byThread.getOrDefault(name, 0.0)));
        Map<String, long[]> kinds = new TreeMap<>();
        byKind.forEach((kind, count) -> {
            long[] was = idle.byKind.getOrDefault(kind, new long[count.length]);
            long[] more = new long[count.length];
            for (int i = 0; i < count.length; i++) {
                more[i] = count[i] - Math.round(factor * was[i]);
            }
            kinds.put(kind, more);
        });
        return new ControlUse(
                router, role, seconds, cpuMs - factor * idle.cpuMs, threads, kinds, connections);
    }

    /** Messages, in and out. */
    double messages() {
        return sum(0) + sum(2);
    }

    /** Bytes, in and out. */
    double bytes() {
        return sum(1) + sum(3);
    }

    private double sum(int column) {
        return byKind.values().stream().mapToLong(c -> c[column]).sum();
    }
}
