package tinlink.maintenance;

import java.util.List;

/** An operator's request on the control socket. {@link ControlRequestParser} parses it from JSON. */
sealed interface ControlRequest {
    /**
     * Submits a request to take machines out of service.
     *
     * @param selectors the machines, in the notation of {@link MachineSelector}
     * @param durationUs how long each machine is out of service, microseconds
     * @param startWithinUs the time after the request within which each task has to start, microseconds
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

    /** Lists all known requests. */
    record ListRequests() implements ControlRequest {}

    /** Shows one request. */
    record ShowRequest(String requestId) implements ControlRequest {}

    /** Lists all known machines. */
    record ListMachines() implements ControlRequest {}

    /** Shows the status of the router that receives this request. */
    record ShowRouter() implements ControlRequest {}

    /** Reports the work on a machine as done; an empty machine id means all machines of the request. */
    record Complete(String requestId, String machine, boolean lost) implements ControlRequest {}

    /** Cancels a request. */
    record Cancel(String requestId, String reason) implements ControlRequest {}

    /** Removes a router whose process has ended for good, which the operator vouches for. */
    record RemoveRouter(String router) implements ControlRequest {}

    /** Replaces a voter by another router. */
    record ReplaceVoter(String voter, String replacement) implements ControlRequest {}

    /** Shows the policy in force. */
    record ShowPolicy() implements ControlRequest {}

    /** Lists all known policy changes. */
    record ListPolicyChanges() implements ControlRequest {}

    /** Shows one policy change. */
    record ShowPolicyChange(String changeId) implements ControlRequest {}

    /** Withdraws a policy change. */
    record WithdrawPolicyChange(String changeId, String reason) implements ControlRequest {}

    /**
     * Proposes a policy change.
     *
     * @param againstEpoch the policy epoch that has to be in force for the change to be accepted
     */
    record ProposePolicyChange(
            String changeId, String text, int againstEpoch, String author, String reason)
            implements ControlRequest {}
}
