package tinlink.experiment.processes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The bounds of work on machines, checked against what was done to machines. It knows nothing of
 * how routers come to their grants: it counts who is away.
 */
public final class MaintenanceChecks {
    /**
     * A machine, for counting.
     *
     * @param cell below 0 for a router
     */
    public record MachinePlacement(String id, int cell, String zone, String site, boolean voter) {}

    /**
     * What has to be left while machines are away.
     *
     * @param holders that each block keeps
     * @param share of its nodes, and of its routers, that
     *     each zone and each site keeps
     * @param knownUs a machine that has failed for less is nobody's fault
     */
    public record Limits(int holders, double share, long knownUs) {}

    public final List<String> belowFloor = new ArrayList<>();
    public final List<String> bothOut = new ArrayList<>();
    public final List<String> doubleGrant = new ArrayList<>();
    private final Map<String, MachinePlacement> spots = new TreeMap<>();
    private final Limits bounds;
    private final Map<String, String> taken = new HashMap<>();
    private final Map<String, Long> failed = new HashMap<>();
    /** Taken while failed: it lost nothing more, whatever it does later. */
    private final Set<String> takenDead = new HashSet<>();

    public MaintenanceChecks(List<MachinePlacement> all, Limits bounds) {
        all.forEach(s -> spots.put(s.id(), s));
        this.bounds = bounds;
    }

    public void check(List<MachineHistory.Event> events) {
        for (MachineHistory.Event e : events) {
            MachinePlacement s = spots.get(e.machine());
            switch (e.what()) {
                case FAILED -> failed.putIfAbsent(e.machine(), e.atUs());
                case HEALED -> failed.remove(e.machine());
                case GIVEN_BACK -> {
                    taken.remove(e.machine());
                    takenDead.remove(e.machine());
                    failed.remove(e.machine());
                }
                case TAKEN -> take(s, e);
                default -> {}
            }
        }
    }

    private void take(MachinePlacement s, MachineHistory.Event e) {
        String before = taken.put(s.id(), e.request());
        if (before != null) {
            doubleGrant.add(s.id() + " for " + before + " and " + e.request());
        }
        if (failed.containsKey(s.id())) {
            takenDead.add(s.id());
            return;
        }
        if (s.cell() >= 0) {
            long others =
                    spots.values().stream().filter(o -> o.cell() == s.cell()).count();
            long left = spots.values().stream()
                    .filter(o -> o.cell() == s.cell()
                            && !taken.containsKey(o.id())
                            && (!failed.containsKey(o.id())
                                    || e.atUs() - failed.get(o.id()) < bounds.knownUs()))
                    .count();
            if (left < bounds.holders()) {
                belowFloor.add(s.id() + " taken: " + left + " of " + others + " holders left");
            }
            if (spots.values().stream()
                            .anyMatch(o -> !o.id().equals(s.id())
                                    && o.cell() == s.cell()
                                    && taken.containsKey(o.id())
                                    && !takenDead.contains(o.id()))
                    && others - 2 < bounds.holders()) {
                bothOut.add(s.id() + " taken beside another of its block");
            }
        }
        share(s, MachinePlacement::zone, "zone");
        share(s, MachinePlacement::site, "site");
        if (s.voter()) {
            long all = spots.values().stream().filter(MachinePlacement::voter).count();
            long left = spots.values().stream()
                    .filter(o -> o.voter() && !taken.containsKey(o.id()))
                    .count();
            if (left < all / 2 + 2) {
                belowFloor.add(s.id() + " taken: " + left + " of " + all + " voters left");
            }
        }
    }

    /**
     * Of what it stands with, nodes or routers alike. Those that failed by themselves are not
     * counted.
     */
    private void share(MachinePlacement s, Function<MachinePlacement, String> where, String what) {
        List<MachinePlacement> like = spots.values().stream()
                .filter(o -> o.cell() < 0 == s.cell() < 0 && where.apply(o).equals(where.apply(s)))
                .toList();
        long left = like.stream()
                .filter(o -> !taken.containsKey(o.id()) || takenDead.contains(o.id()))
                .count();
        if (left < Math.ceil(bounds.share() * like.size() - 1e-9)) {
            belowFloor.add(
                    s.id() + " taken: " + left + " of " + like.size() + " left in its " + what);
        }
    }
}
