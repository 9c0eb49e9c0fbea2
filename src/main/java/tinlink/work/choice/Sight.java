package tinlink.work.choice;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What several routers see of machines, joined by the leader into what all are to agree on. One router's word
 * is not enough, in either direction; what is old counts for nothing. Times are microseconds of one clock.
 */
public final class Sight {
    /** What one router says of one machine. */
    private record Said(boolean sound, long at) {
    }

    private final long oldUs;
    private final int most;
    /** By machine, by router: the newest word. Old ones leave as they are looked at. */
    private final Map<String, Map<String, Said>> seen = new TreeMap<>();
    /** By router: its list of data nodes, and when it was told. */
    private final Map<String, Collection<Machine>> lists = new LinkedHashMap<>();
    private final Map<String, Long> listedAt = new LinkedHashMap<>();

    /** @param oldUs a word counts for so long; @param most machines and routers that are looked at */
    public Sight(long oldUs, int most) {
        this.oldUs = oldUs;
        this.most = most;
    }

    public void saw(String router, String machine, boolean sound, long now) {
        if (seen.size() < most || seen.containsKey(machine)) {
            Map<String, Said> of = seen.computeIfAbsent(machine, m -> new TreeMap<>());
            if (of.size() < most || of.containsKey(router)) {
                of.put(router, new Said(sound, now));
            }
        }
    }

    /** A router's list as it has it now. */
    public void listed(String router, Collection<Machine> nodes, long now) {
        if (lists.size() < most || lists.containsKey(router)) {
            lists.put(router, List.copyOf(nodes));
            listedAt.put(router, now);
        }
    }

    /**
     * What there is to propose, so that what stands becomes what is seen; nothing where they are the same.
     */
    public List<String> proposes(Order order, long now) {
        List<String> all = new ArrayList<>();
        machines(order, now, all);
        for (Machine m : order.machines()) {
            Map<String, Said> of = seen.get(m.id());
            if (of == null) {
                continue;
            }
            of.values().removeIf(s -> now - s.at() > oldUs);
            if (of.isEmpty()) {
                seen.remove(m.id());
                continue;
            }
            long well = of.values().stream().filter(Said::sound).count();
            long ill = of.size() - well;
            boolean sound = order.sound(m.id());
            // Danger: one router that is cut off would count half the fleet out, or count a dead machine in.
            if (sound && ill > well || !sound && well > ill) {
                all.add(Order.soundWords(m.id(), !sound));
            }
        }
        return all;
    }

    /**
     * Danger: lists differ by seconds; a node that one router has heard of first, or still has, is no change.
     */
    private void machines(Order order, long now, List<String> all) {
        listedAt.values().removeIf(at -> now - at > oldUs);
        lists.keySet().retainAll(listedAt.keySet());
        if (lists.isEmpty()) {
            return;
        }
        Map<String, Machine> by = new TreeMap<>();
        Map<String, Integer> votes = new TreeMap<>();
        lists.values().forEach(some -> some.forEach(m -> {
            by.put(m.id(), m);
            votes.merge(m.id(), 1, Integer::sum);
        }));
        TreeSet<String> named = new TreeSet<>(by.keySet());
        order.machines().stream().filter(m -> !m.isRouter()).forEach(m -> named.add(m.id()));
        for (String id : named) {
            int n = votes.getOrDefault(id, 0);
            Machine known = order.machine(id);
            if (2 * n > lists.size() && !by.get(id).equals(known)) {
                all.add(Order.machineWords(by.get(id)));
            } else if (2 * n < lists.size() && known != null && order.away(id) == null) {
                all.add(Order.goneWords(id));
            }
        }
    }
}
