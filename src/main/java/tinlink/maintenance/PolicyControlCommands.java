package tinlink.maintenance;

import tinlink.policy.PolicyRolloutService;
import tinlink.policy.ProposalTerms;

import java.util.Map;

/** Executes operators' requests about policy. Runs on the event loop's thread. */
final class PolicyControlCommands {
    private final PolicyRolloutService policy;
    private final ControlViews views;

    PolicyControlCommands(PolicyRolloutService policy, ControlViews views) {
        this.policy = policy;
        this.views = views;
    }

    /** Executes a request about policy and ignores any other request. */
    void execute(ControlRequest request, ControlResponder responder) {
        if (request instanceof ControlRequest.ShowPolicy) {
            responder.respond(ControlResponder.OK, views.withLeader(policy.status()));
        } else if (request instanceof ControlRequest.ListPolicyChanges) {
            responder.respond(
                    ControlResponder.OK, views.withLeader(Map.of("changes", policy.history())));
        } else if (request instanceof ControlRequest.ShowPolicyChange showPolicyChange) {
            showChange(showPolicyChange.changeId(), responder);
        } else if (request instanceof ControlRequest.WithdrawPolicyChange withdrawPolicyChange) {
            policy.withdraw(
                    withdrawPolicyChange.changeId(),
                    withdrawPolicyChange.reason(),
                    responder::respondProposal);
        } else if (request instanceof ControlRequest.ProposePolicyChange proposePolicyChange) {
            propose(proposePolicyChange, responder);
        }
    }

    private void showChange(String changeId, ControlResponder responder) {
        Map<String, Object> change = policy.status(changeId);
        if (change == null) {
            responder.respond(
                    ControlResponder.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no change has that id, as far as this router has heard")));
        } else {
            responder.respond(ControlResponder.OK, views.withLeader(Map.of("change", change)));
        }
    }

    private void propose(ControlRequest.ProposePolicyChange request, ControlResponder responder) {
        ProposalTerms terms = ProposalTerms.parse(request.text());
        policy.propose(
                terms.proposal(
                        request.changeId(),
                        request.againstEpoch(),
                        request.text(),
                        request.author(),
                        request.reason()),
                responder::respondProposal);
    }
}
