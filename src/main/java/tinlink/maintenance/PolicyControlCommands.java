package tinlink.maintenance;

import tinlink.policy.PolicyRolloutService;
import tinlink.policy.ProposalTerms;
import tinlink.start.JsonFile;

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

    /** @throws tinlink.start.BadInput where the request can't be understood; it names the field */
    void execute(String command, JsonFile request, ControlConnection connection) {
        switch (command) {
            case "policy-show" -> {
                request.nothingElse();
                connection.respond(ControlConnection.OK, views.withLeader(policyRollout.status()));
            }
            case "policy-history" -> {
                request.nothingElse();
                connection.respond(
                        ControlConnection.OK,
                        views.withLeader(Map.of("changes", policyRollout.history())));
            }
            case "policy-status" -> status(request, connection);
            case "policy-withdraw" -> withdraw(request, connection);
            case "policy-propose" -> propose(request, connection);
            default -> throw request.bad("do", "is not known: " + command);
        }
    }

    private void status(JsonFile request, ControlConnection connection) {
        String id = request.text("id");
        request.nothingElse();
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

    private void withdraw(JsonFile request, ControlConnection connection) {
        String id = request.text("id");
        String reason = request.text("why", "withdrawn by its operator");
        request.nothingElse();
        policyRollout.withdraw(id, reason, connection::answerProposal);
    }

    private void propose(JsonFile request, ControlConnection connection) {
        String id = request.text("id");
        String text = request.text("text");
        long againstEpoch = request.whole("against", 0, 0, Integer.MAX_VALUE);
        String author = request.text("author", "unknown");
        String reason = request.text("why", "");
        request.nothingElse();
        ProposalTerms terms = ProposalTerms.parse(text);
        policyRollout.propose(
                id, againstEpoch, terms.digest(), text, author, reason, terms.absencePolicy(), connection::answerProposal);
    }
}
