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
final class PolicyIntegration {
    private final RouterStart start;
    private final PolicyRolloutService policyRollout;
    /** As the newest versions have them: two at a time, the one in force and the one before it. */
    private final Map<Long, PolicyDoc> documents = new java.util.TreeMap<>();

    PolicyIntegration(EventLoop loop, ClusterNode clusterNode, PolicyStateMachine policyStateMachine, RouterStart start) {
        this.start = start;
        // The one clock that all machines read; nothing else in the router asks it.
        policyRollout = new PolicyRolloutService(
                loop,
                clusterNode,
                policyStateMachine,
                change -> rejectionOf(change.text()),
                () -> System.currentTimeMillis() * 1000,
                start.work.reportUs);
    }

    PolicyRolloutService policy() {
        return policyRollout;
    }

    /** This router's own start checks of a text: why it can't be used, or empty. */
    private String rejectionOf(String text) {
        try {
            new PolicyDoc(text, start);
            return "";
        } catch (BadInput e) {
            return e.getMessage();
        }
    }

    private PolicyDoc currentDocument() {
        PolicyVersion version = policyRollout.effectiveVersion();
        if (version == null || version.epoch() == 0) {
            return null;
        }
        PolicyDoc document = documents.get(version.epoch());
        if (document == null) {
            documents.keySet().removeIf(epoch -> epoch < version.epoch() - 1);
            document = new PolicyDoc(version.text(), start);
            documents.put(version.epoch(), document);
        }
        return document;
    }

    /**
     * Figures of lookups that come now. @throws BadMessage where none may be taken: nothing of it
     * was sent
     */
    Map<String, Index> lookupClasses() throws MessageRejectedException {
        PolicyDoc document = currentDocument();
        if (document == null && !policyRollout.unavailableReason().isEmpty()) {
            throw new MessageRejectedException(503, "no lookups are taken: " + policyRollout.unavailableReason());
        }
        return document == null ? start.lookups.indexes() : document.indexes;
    }

    int maxInFlight() {
        PolicyDoc document = currentDocument();
        return document == null ? start.lookups.openCap() : document.openCap;
    }

    /** Why clients are to go elsewhere; empty where they are served. */
    String unavailableReason() {
        policyRollout.effectiveVersion();
        return policyRollout.unavailableReason();
    }
}
