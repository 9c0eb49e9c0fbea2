package tinlink.maintenance;

import tinlink.config.ConfigFile;
import tinlink.maintenance.scheduling.MaintenanceRequest;

import java.util.List;

/**
 * Parses an operator's request. All keys are checked and unknown keys are rejected; the error message names
 * the key and the allowed values. Operators' tools send these command names and keys, which must not change.
 */
final class ControlRequestParser {
    private static final String COMMAND = "do";
    private static final String POLICY_PREFIX = "policy-";
    private static final int MAX_SELECTORS = 1000;
    private static final double MAX_DURATION_MS = 1e10;

    private static final int DEFAULT_URGENCY = 5;

    private final boolean policyEnabled;

    /** @param policyEnabled whether requests about policy are accepted */
    ControlRequestParser(boolean policyEnabled) {
        this.policyEnabled = policyEnabled;
    }

    /** @throws tinlink.config.InvalidInputException if the request is invalid; the message names the key */
    ControlRequest parse(ConfigFile json) {
        String command = json.text(COMMAND);
        boolean aboutPolicy = command.startsWith(POLICY_PREFIX);
        if (aboutPolicy && !policyEnabled) {
            throw json.invalid(
                    COMMAND, "is of policy, which is off here: 'policy' in the work file");
        }
        ControlRequest request =
                aboutPolicy ? policyRequest(command, json) : maintenanceRequest(command, json);
        json.rejectUnknownKeys();
        return request instanceof ControlRequest.Submit submit ? checked(submit, json) : request;
    }

    private static ControlRequest maintenanceRequest(String command, ConfigFile json) {
        return switch (command) {
            case "ask" -> submit(json);
            case "list" -> new ControlRequest.ListRequests();
            case "show" -> new ControlRequest.ShowRequest(json.text("id"));
            case "machines" -> new ControlRequest.ListMachines();
            case "router" -> new ControlRequest.ShowRouter();
            case "done" ->
                new ControlRequest.Complete(
                        json.text("id"), json.text("machine", ""), json.flag("lost", false));
            case "call-off" ->
                new ControlRequest.Cancel(json.text("id"), json.text("why", "called off"));
            case "ended" -> new ControlRequest.RemoveRouter(json.text("router"));
            case "seat" -> new ControlRequest.ReplaceVoter(json.text("from"), json.text("to"));
            default ->
                throw json.invalid(
                        COMMAND,
                        "is none of ask, list, show, machines, router, done, "
                                + "call-off, ended, seat: " + command);
        };
    }

    private static ControlRequest policyRequest(String command, ConfigFile json) {
        return switch (command) {
            case "policy-show" -> new ControlRequest.ShowPolicy();
            case "policy-history" -> new ControlRequest.ListPolicyChanges();
            case "policy-status" -> new ControlRequest.ShowPolicyChange(json.text("id"));
            case "policy-withdraw" ->
                new ControlRequest.WithdrawPolicyChange(
                        json.text("id"), json.text("why", "withdrawn by its operator"));
            case "policy-propose" ->
                new ControlRequest.ProposePolicyChange(
                        json.text("id"),
                        json.text("text"),
                        json.integer("against", 0, 0, Integer.MAX_VALUE),
                        json.text("author", "unknown"),
                        json.text("why", ""));
            default -> throw json.invalid(COMMAND, "is not known: " + command);
        };
    }

    private static ControlRequest submit(ConfigFile json) {
        return new ControlRequest.Submit(
                json.text("id"),
                json.texts("machines"),
                json.micros("for_ms", 0, 1, MAX_DURATION_MS),
                json.has("within_ms")
                        ? json.micros("within_ms", 0, 1, MAX_DURATION_MS)
                        : Long.MAX_VALUE,
                json.integer("urgency", DEFAULT_URGENCY, 0, MaintenanceRequest.MAX_URGENCY),
                json.text("author", "unknown"),
                json.text("why", "work"));
    }

    private static ControlRequest checked(ControlRequest.Submit submit, ConfigFile json) {
        List<String> selectors = submit.selectors();
        if (submit.durationUs() <= 0) {
            throw json.invalid("for_ms", "is missing: how long each machine is out");
        }
        if (selectors.size() > MAX_SELECTORS) {
            throw json.invalid("machines", "names more than " + MAX_SELECTORS);
        }
        return submit;
    }
}
