package tinlink.cluster.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other routers that are known, by name, in the order in which they became so. Those that are dead or
 * have left go after a time, and first where there are too many.
 */
final class MemberTable {
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final int maxMembers;

    MemberTable(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    Collection<Member> all() {
        return members.values();
    }

    /** Null where it is not known. */
    Member get(String router) {
        return members.get(router);
    }

    boolean isCurrent(Member member) {
        return members.get(member.router()) == member;
    }

    void add(Member member) {
        members.put(member.router(), member);
    }

    Iterator<Member> iterator() {
        return members.values().iterator();
    }

    /** Routers that are serving as far as is known, this one counted. */
    int servingCount() {
        int others =
                (int) members.values().stream().filter(m -> m.state.isServing()).count();
        return 1 + others;
    }

    /** The logarithm of the cluster's size, to which rumors and suspicions are scaled; 1 at least. */
    int logClusterSize() {
        return Math.max(1, (int) Math.ceil(Math.log(members.size() + 2) / Math.log(2)));
    }

    List<Member> aliveExcept(Member excluded) {
        List<Member> alive = new ArrayList<>();
        for (Member member : members.values()) {
            if (member != excluded && member.state == MemberState.ALIVE) {
                alive.add(member);
            }
        }
        return alive;
    }

    List<String> servingRouters() {
        List<String> routers = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state.isServing()) {
                routers.add(member.router());
            }
        }
        return routers;
    }

    /**
     * Danger: names made up by a liar, or a fleet larger than was meant, would fill the heap.
     *
     * @return whether there is capacity for one more; the one that has been dead for longest is evicted
     *     for it
     */
    boolean ensureCapacity() {
        if (members.size() < maxMembers) {
            return true;
        }
        Member evicted = members.values().stream()
                .filter(m -> !m.state.isServing())
                .min(Comparator.comparingLong(m -> m.stateSinceUs))
                .orElse(null);
        if (evicted != null) {
            members.remove(evicted.router());
        }
        return evicted != null;
    }
}
