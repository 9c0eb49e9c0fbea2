package tinlink.work;

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
    void execute(String command, JsonFile request, ControlConnection to) {
        switch (command) {
            case "policy-show" -> {
                request.nothingElse();
                to.answer(ControlConnection.OK, views.withLeader(policyRollout.status()));
            }
            case "policy-history" -> {
                request.nothingElse();
                to.answer(
                        ControlConnection.OK,
                        views.withLeader(Map.of("changes", policyRollout.history())));
            }
            case "policy-status" -> status(request, to);
            case "policy-withdraw" -> withdraw(request, to);
            case "policy-propose" -> propose(request, to);
            default -> throw request.bad("do", "is not known: " + command);
        }
    }

    private void status(JsonFile request, ControlConnection to) {
        String id = request.text("id");
        request.nothingElse();
        Map<String, Object> change = policyRollout.status(id);
        if (change == null) {
            to.answer(
                    ControlConnection.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no change has that id, as far as this router has heard")));
        } else {
            to.answer(ControlConnection.OK, views.withLeader(Map.of("change", change)));
        }
    }

    private void withdraw(JsonFile request, ControlConnection to) {
        String id = request.text("id");
        String why = request.text("why", "withdrawn by its operator");
        request.nothingElse();
        policyRollout.withdraw(id, why, to::answerAgreed);
    }

    private void propose(JsonFile request, ControlConnection to) {
        String id = request.text("id");
        String text = request.text("text");
        long against = request.whole("against", 0, 0, Integer.MAX_VALUE);
        String author = request.text("author", "unknown");
        String why = request.text("why", "");
        request.nothingElse();
        ProposalTerms terms = ProposalTerms.parse(text);
        policyRollout.propose(
                id, against, terms.digest(), text, author, why, terms.absencePolicy(), to::answerAgreed);
    }
}
