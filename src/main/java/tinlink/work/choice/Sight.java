package tinlink.work.choice;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What several routers see of machines, joined by the leader into what all are to agree on. One
 * router's word is not enough, in either direction; what is old counts for nothing. Times are
 * microseconds of one clock.
 */
public final class Sight {
    /** What one router says of one machine. */
    private record Said(boolean sound, long at) {}

    private final long oldUs;
    private final int most;
    /** By machine, by router: the newest word. Old ones leave as they are looked at. */
    private final Map<String, Map<String, Said>> seen = new TreeMap<>();
    /**
     * By router: its list of data nodes, and when it was told; old ones leave as they are looked
     * at.
     */
    private final Map<String, Listed> lists = new LinkedHashMap<>();

    private record Listed(String site, Collection<Machine> nodes, long at) {}

    /** Lists that were told as a difference to the nodes agreed on. */
    private final ListVotes differences;

    /**
     * @param oldUs a word counts for so long
     * @param most machines and routers that are looked at
     */
    public Sight(long oldUs, int most) {
        this.oldUs = oldUs;
        this.most = most;
        differences = new ListVotes(oldUs, most);
    }

    /** The nodes that are agreed on now: what differences are told against. */
    public void agreed(AgreedNodes nodes) {
        differences.agreed(nodes);
    }

    /** A router's list as it differs from what is agreed on; false where that is not known here. */
    public boolean differs(String router, ListDifference difference, long now) {
        boolean known = differences.told(router, difference, now);
        if (known) {
            lists.remove(router);
        }
        return known;
    }

    public void saw(String router, String machine, boolean sound, long now) {
        if (seen.size() < most || seen.containsKey(machine)) {
            Map<String, Said> of = seen.computeIfAbsent(machine, m -> new TreeMap<>());
            if (of.size() < most || of.containsKey(router)) {
                of.put(router, new Said(sound, now));
            }
        }
    }

    /**
     * A router's list as it has it now.
     *
     * @param site the router's own
     */
    public void listed(String router, String site, Collection<Machine> nodes, long now) {
        if (lists.size() < most || lists.containsKey(router)) {
            differences.forget(router);
            lists.put(router, new Listed(site, List.copyOf(nodes), now));
        }
    }

    /**
     * What there is to propose, so that what stands becomes what is seen; nothing where they are
     * the same.
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
            // Danger: one router that is cut off would count half the fleet out, or count a dead
            // machine in.
            if ((sound && ill > well) || (!sound && well > ill)) {
                all.add(Order.soundWords(m.id(), !sound));
            }
        }
        return all;
    }

    /**
     * Danger: lists differ by seconds; a node that one router has heard of first, or still has, is
     * no change. And sites may have lists of their own: of its nodes the routers of a site know,
     * and where none of them is heard nothing is known to have gone.
     */
    private void machines(Order order, long now, List<String> all) {
        lists.values().removeIf(l -> now - l.at() > oldUs);
        differences.forgetOld(now);
        Map<String, Integer> wholeLists = new TreeMap<>();
        Map<String, Integer> onWholeLists = new TreeMap<>();
        Map<Machine, Integer> listed = new HashMap<>();
        for (Listed l : lists.values()) {
            wholeLists.merge(l.site(), 1, Integer::sum);
            for (Machine m : l.nodes()) {
                if (m.site().equals(l.site())) {
                    listed.merge(m, 1, Integer::sum);
                    onWholeLists.merge(m.id(), 1, Integer::sum);
                }
            }
        }
        Map<String, Integer> voters = new TreeMap<>(wholeLists);
        Map<String, Integer> missing = new HashMap<>();
        differences.countVoters(voters);
        differences.countListed(listed);
        differences.countMissing(missing);
        Map<String, Machine> known = new TreeMap<>();
        listed.forEach((m, votes) -> {
            if (2 * votes > voters.get(m.site()) && !m.equals(order.machine(m.id()))) {
                known.put(m.id(), m);
            }
        });
        known.values().forEach(m -> all.add(Order.machineWords(m)));
        for (Machine m : order.machines()) {
            if (m.isRouter() || order.away(m.id()) != null) {
                continue;
            }
            int without = wholeLists.getOrDefault(m.site(), 0)
                    - onWholeLists.getOrDefault(m.id(), 0)
                    + missing.getOrDefault(m.id(), 0);
            if (2 * without > voters.getOrDefault(m.site(), 0)) {
                all.add(Order.goneWords(m.id()));
            }
        }
    }
}
