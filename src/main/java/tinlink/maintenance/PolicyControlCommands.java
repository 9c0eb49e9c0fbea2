package tinlink.maintenance;

import tinlink.config.ConfigFile;
import tinlink.policy.PolicyRolloutService;
import tinlink.policy.ProposalTerms;

import java.util.Map;

/** An operator's commands about policy; all of them begin with {@link #PREFIX}. */
final class PolicyControlCommands {
    static final String PREFIX = "policy-";

    private final PolicyRolloutService policyRollout;
    private final ControlViews views;

    PolicyControlCommands(PolicyRolloutService policyRollout, ControlViews views) {
        this.policyRollout = policyRollout;
        this.views = views;
    }

    /**
     * @throws tinlink.config.InvalidInputException where the request can't be understood; it names the field
     */
    void execute(String command, ConfigFile request, ControlConnection connection) {
        switch (command) {
            case "policy-show" -> {
                request.rejectUnknownKeys();
                connection.respond(ControlConnection.OK, views.withLeader(policyRollout.status()));
            }
            case "policy-history" -> {
                request.rejectUnknownKeys();
                connection.respond(
                        ControlConnection.OK,
                        views.withLeader(Map.of("changes", policyRollout.history())));
            }
            case "policy-status" -> status(request, connection);
            case "policy-withdraw" -> withdraw(request, connection);
            case "policy-propose" -> propose(request, connection);
            default -> throw request.invalid("do", "is not known: " + command);
        }
    }

    private void status(ConfigFile request, ControlConnection connection) {
        String id = request.text("id");
        request.rejectUnknownKeys();
        Map<String, Object> change = policyRollout.status(id);
        if (change == null) {
            connection.respond(
                    ControlConnection.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no change has that id, as far as this router has heard")));
        } else {
            connection.respond(ControlConnection.OK, views.withLeader(Map.of("change", change)));
        }
    }

    private void withdraw(ConfigFile request, ControlConnection connection) {
        String id = request.text("id");
        String reason = request.text("why", "withdrawn by its operator");
        request.rejectUnknownKeys();
        policyRollout.withdraw(id, reason, connection::answerProposal);
    }

    private void propose(ConfigFile request, ControlConnection connection) {
        String id = request.text("id");
        String text = request.text("text");
        long againstEpoch = request.integer("against", 0, 0, Integer.MAX_VALUE);
        String author = request.text("author", "unknown");
        String reason = request.text("why", "");
        request.rejectUnknownKeys();
        ProposalTerms terms = ProposalTerms.parse(text);
        policyRollout.propose(
                terms.proposal(id, againstEpoch, text, author, reason), connection::answerProposal);
    }
}
