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
import java.util.TreeMap;

/**
 * Connects the request pipeline with policy rollouts: provides the policy that applies to a new
 * lookup until it ends, and rejects lookups while the policy in force is unknown.
 */
final class PolicyIntegration {
    private final RouterConfig config;
    private final PolicyRolloutService policyRollout;
    /** Parsed documents by epoch: at most the version in force and the one before it. */
    private final Map<Long, PolicyDocument> documents = new TreeMap<>();

    PolicyIntegration(
            EventLoop loop,
            ClusterNode clusterNode,
            PolicyStateMachine policyStateMachine,
            RouterConfig config) {
        this.config = config;
        // The wall clock is the only clock that all machines share; the rest of the router doesn't
        // read it.
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

    /** Checks a policy text as at startup; returns why it can't be used, or an empty string. */
    private String rejectionOf(String text) {
        try {
            new PolicyDocument(text, config);
            return "";
        } catch (InvalidInputException e) {
            return e.getMessage();
        }
    }

    /** The document in force; null if no policy was rolled out or the policy in force is unknown. */
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
     * Returns the lookup classes that apply to a new lookup.
     *
     * @throws MessageRejectedException if lookups can't be accepted; nothing of the lookup was sent
     */
    Map<String, LookupClass> lookupClasses() throws MessageRejectedException {
        PolicyDocument document = currentDocument();
        if (document == null && !policyRollout.unavailableReason().isEmpty()) {
            throw new MessageRejectedException(
                    503, "no lookups are taken: " + policyRollout.unavailableReason());
        }
        return document == null ? config.lookups.lookupClasses() : document.lookupClasses;
    }

    /** The number of lookups that may be in flight at once under the policy in force. */
    int maxInFlight() {
        PolicyDocument document = currentDocument();
        return document == null ? config.lookups.maxInFlight() : document.maxInFlight;
    }

    /** Returns why clients have to use another router; empty if they are served here. */
    String unavailableReason() {
        policyRollout.effectiveVersion();
        return policyRollout.unavailableReason();
    }
}
