package tinlink.maintenance;

import java.util.List;

/** What an operator asks over the control socket. {@link ControlRequestParser} reads it from JSON. */
sealed interface ControlRequest {
    /**
     * Requests machines.
     *
     * @param selectors which machines; see {@link MachineSelector}
     * @param durationUs how long each machine is out, microseconds
     * @param startWithinUs each task has to have started so long after the request
     */
    record Submit(
            String requestId,
            List<String> selectors,
            long durationUs,
            long startWithinUs,
            int urgency,
            String author,
            String reason)
            implements ControlRequest {}

    /** Lists all requests that are known. */
    record ListRequests() implements ControlRequest {}

    /** Shows one request. */
    record ShowRequest(String requestId) implements ControlRequest {}

    /** Lists all machines that are known. */
    record ListMachines() implements ControlRequest {}

    /** Shows the status of the router that is asked. */
    record ShowRouter() implements ControlRequest {}

    /** Work is done; of all machines of the request where the machine is empty. */
    record Complete(String requestId, String machine, boolean lost) implements ControlRequest {}

    /** Takes a request back. */
    record Cancel(String requestId, String reason) implements ControlRequest {}

    /** A router's process has ended for good, by the operator's word. */
    record RemoveRouter(String router) implements ControlRequest {}

    /** Another router is to vote in a voter's place. */
    record ReplaceVoter(String voter, String replacement) implements ControlRequest {}

    /** Shows the policy in force. */
    record ShowPolicy() implements ControlRequest {}

    /** Lists the changes of policy that are known. */
    record ListPolicyChanges() implements ControlRequest {}

    /** Shows one change of policy. */
    record ShowPolicyChange(String changeId) implements ControlRequest {}

    /** Takes a change of policy back. */
    record WithdrawPolicyChange(String changeId, String reason) implements ControlRequest {}

    /**
     * Proposes a change of policy.
     *
     * @param againstEpoch the epoch that has to be in force
     */
    record ProposePolicyChange(
            String changeId, String text, int againstEpoch, String author, String reason)
            implements ControlRequest {}
}
