package tinlink.router;

import tinlink.decision.Index;
import tinlink.net.BadMessage;
import tinlink.net.Loop;
import tinlink.cluster.ClusterNode;
import tinlink.policy.Policy;
import tinlink.policy.PolicyBook;
import tinlink.policy.choice.Version;
import tinlink.start.BadInput;
import tinlink.start.PolicyDoc;
import tinlink.start.RouterStart;

import java.util.Map;

/**
 * What a request's stages and changes of policy have to do with each other: by which figures a
 * lookup is taken, to its end; and that none is where it is not known which hold.
 */
final class PolicyLinks {
    private final RouterStart start;
    private final Policy policy;
    /** As the newest versions have them: two at a time, the one in force and the one before it. */
    private final Map<Long, PolicyDoc> docs = new java.util.TreeMap<>();

    PolicyLinks(Loop loop, ClusterNode clusterNode, PolicyBook book, RouterStart start) {
        this.start = start;
        // The one clock that all machines read; nothing else in the router asks it.
        policy = new Policy(
                loop,
                clusterNode,
                book,
                c -> refuses(c.text()),
                () -> System.currentTimeMillis() * 1000,
                start.work.reportUs);
    }

    Policy policy() {
        return policy;
    }

    /** This router's own start checks of a text: why it can't be used, or empty. */
    private String refuses(String text) {
        try {
            new PolicyDoc(text, start);
            return "";
        } catch (BadInput e) {
            return e.getMessage();
        }
    }

    private PolicyDoc doc() {
        Version v = policy.takes();
        if (v == null || v.epoch() == 0) {
            return null;
        }
        PolicyDoc known = docs.get(v.epoch());
        if (known == null) {
            docs.keySet().removeIf(old -> old < v.epoch() - 1);
            known = new PolicyDoc(v.text(), start);
            docs.put(v.epoch(), known);
        }
        return known;
    }

    /**
     * Figures of lookups that come now. @throws BadMessage where none may be taken: nothing of it
     * was sent
     */
    Map<String, Index> indexes() throws BadMessage {
        PolicyDoc d = doc();
        if (d == null && !policy.why().isEmpty()) {
            throw new BadMessage(503, "no lookups are taken: " + policy.why());
        }
        return d == null ? start.lookups.indexes() : d.indexes;
    }

    int openCap() {
        PolicyDoc d = doc();
        return d == null ? start.lookups.openCap() : d.openCap;
    }

    /** Why clients are to go elsewhere; empty where they are served. */
    String why() {
        policy.takes();
        return policy.why();
    }
}
