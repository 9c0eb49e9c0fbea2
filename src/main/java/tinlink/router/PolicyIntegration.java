package tinlink.router;

import tinlink.cluster.ClusterNode;
import tinlink.config.InvalidInputException;
import tinlink.config.PolicyDocument;
import tinlink.config.RouterConfig;
import tinlink.decision.LookupClass;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.policy.PolicyRolloutService;
import tinlink.policy.PolicyStateMachine;
import tinlink.policy.rollout.PolicyVersion;

import java.util.Map;

/**
 * What a request's stages and changes of policy have to do with each other: by which figures a
 * lookup is taken, to its end; and that none is where it is not known which hold.
 */
final class PolicyIntegration {
    private final RouterConfig config;
    private final PolicyRolloutService policyRollout;
    /** As the newest versions have them: two at a time, the one in force and the one before it. */
    private final Map<Long, PolicyDocument> documents = new java.util.TreeMap<>();

    PolicyIntegration(
            EventLoop loop,
            ClusterNode clusterNode,
            PolicyStateMachine policyStateMachine,
            RouterConfig config) {
        this.config = config;
        // The one clock that all machines read; nothing else in the router asks it.
        policyRollout = new PolicyRolloutService(
                loop,
                clusterNode,
                policyStateMachine,
                change -> rejectionOf(change.text()),
                () -> System.currentTimeMillis() * 1000,
                config.maintenance.reportIntervalUs);
    }

    PolicyRolloutService policy() {
        return policyRollout;
    }

    /** This router's own start checks of a text: why it can't be used, or empty. */
    private String rejectionOf(String text) {
        try {
            new PolicyDocument(text, config);
            return "";
        } catch (InvalidInputException e) {
            return e.getMessage();
        }
    }

    private PolicyDocument currentDocument() {
        PolicyVersion version = policyRollout.effectiveVersion();
        if (version == null || version.epoch() == 0) {
            return null;
        }
        PolicyDocument document = documents.get(version.epoch());
        if (document == null) {
            documents.keySet().removeIf(epoch -> epoch < version.epoch() - 1);
            document = new PolicyDocument(version.text(), config);
            documents.put(version.epoch(), document);
        }
        return document;
    }

    /**
     * Figures of lookups that come now. @throws BadMessage where none may be taken: nothing of it
     * was sent
     */
    Map<String, LookupClass> lookupClasses() throws MessageRejectedException {
        PolicyDocument document = currentDocument();
        if (document == null && !policyRollout.unavailableReason().isEmpty()) {
            throw new MessageRejectedException(
                    503, "no lookups are taken: " + policyRollout.unavailableReason());
        }
        return document == null ? config.lookups.lookupClasses() : document.lookupClasses;
    }

    int maxInFlight() {
        PolicyDocument document = currentDocument();
        return document == null ? config.lookups.maxInFlight() : document.maxInFlight;
    }

    /** Why clients are to go elsewhere; empty where they are served. */
    String unavailableReason() {
        policyRollout.effectiveVersion();
        return policyRollout.unavailableReason();
    }
}
