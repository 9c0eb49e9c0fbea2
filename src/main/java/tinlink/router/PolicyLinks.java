package tinlink.router;

import tinlink.decision.Index;
import tinlink.net.MessageRejectedException;
import tinlink.net.EventLoop;
import tinlink.cluster.ClusterNode;
import tinlink.policy.PolicyRolloutService;
import tinlink.policy.PolicyStateMachine;
import tinlink.policy.rollout.PolicyVersion;
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
    private final PolicyRolloutService policyRollout;
    /** As the newest versions have them: two at a time, the one in force and the one before it. */
    private final Map<Long, PolicyDoc> docs = new java.util.TreeMap<>();

    PolicyLinks(EventLoop loop, ClusterNode clusterNode, PolicyStateMachine policyStateMachine, RouterStart start) {
        this.start = start;
        // The one clock that all machines read; nothing else in the router asks it.
        policyRollout = new PolicyRolloutService(
                loop,
                clusterNode,
                policyStateMachine,
                change -> refuses(change.text()),
                () -> System.currentTimeMillis() * 1000,
                start.work.reportUs);
    }

    PolicyRolloutService policy() {
        return policyRollout;
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
        PolicyVersion version = policyRollout.effectiveVersion();
        if (version == null || version.epoch() == 0) {
            return null;
        }
        PolicyDoc known = docs.get(version.epoch());
        if (known == null) {
            docs.keySet().removeIf(old -> old < version.epoch() - 1);
            known = new PolicyDoc(version.text(), start);
            docs.put(version.epoch(), known);
        }
        return known;
    }

    /**
     * Figures of lookups that come now. @throws BadMessage where none may be taken: nothing of it
     * was sent
     */
    Map<String, Index> indexes() throws MessageRejectedException {
        PolicyDoc d = doc();
        if (d == null && !policyRollout.unavailableReason().isEmpty()) {
            throw new MessageRejectedException(503, "no lookups are taken: " + policyRollout.unavailableReason());
        }
        return d == null ? start.lookups.indexes() : d.indexes;
    }

    int openCap() {
        PolicyDoc d = doc();
        return d == null ? start.lookups.openCap() : d.openCap;
    }

    /** Why clients are to go elsewhere; empty where they are served. */
    String why() {
        policyRollout.effectiveVersion();
        return policyRollout.unavailableReason();
    }
}
