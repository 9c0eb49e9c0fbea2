package tinlink.cluster.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other routers that this one knows, by name, in the order in which they were discovered. Members that
 * are dead or have left are removed after a retention time, or earlier if the table is full.
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

    /** Returns the router's member, or null if the router is unknown. */
    Member get(String router) {
        return members.get(router);
    }

    /** Whether the object is the one that the table holds for the member's router. */
    boolean isCurrent(Member member) {
        return members.get(member.router()) == member;
    }

    void add(Member member) {
        members.put(member.router(), member);
    }

    Iterator<Member> iterator() {
        return members.values().iterator();
    }

    /** Returns the number of routers that are alive or suspect, this one included. */
    int servingCount() {
        int others = (int) members.values().stream()
                .filter(member -> member.state.isServing())
                .count();
        return 1 + others;
    }

    /**
     * Returns the binary logarithm of the cluster's size, rounded up and at least 1. The number of times that
     * a rumor is sent and the length of suspicions are proportional to it.
     */
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
     * Makes room for another member; if the table is full, evicts the member that has been dead or left for
     * longest. Without the bound, forged names or an unexpectedly large fleet would fill the heap.
     *
     * @return whether there is room
     */
    boolean ensureCapacity() {
        if (members.size() < maxMembers) {
            return true;
        }
        Member evicted = members.values().stream()
                .filter(member -> !member.state.isServing())
                .min(Comparator.comparingLong(member -> member.stateSinceUs))
                .orElse(null);
        if (evicted != null) {
            members.remove(evicted.router());
        }
        return evicted != null;
    }
}
