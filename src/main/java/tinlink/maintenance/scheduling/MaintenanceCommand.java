package tinlink.maintenance.scheduling;

/**
 * A command of the replicated log that changes the {@link MaintenanceState}. All routers apply the same
 * commands in the same order. {@link MaintenanceCommandCodec} defines the encoding.
 */
public sealed interface MaintenanceCommand {
    /** Sets the limits of the whole fleet. Only the first command has an effect. */
    record SetLimits(DisruptionLimits limits) implements MaintenanceCommand {}

    /**
     * Advances agreed time.
     *
     * @param elapsedUs microseconds since the leader's last such command, by its monotonic clock
     */
    record AdvanceTime(long elapsedUs) implements MaintenanceCommand {}

    /** Adds a machine or replaces its description. */
    record RegisterMachine(Machine machine) implements MaintenanceCommand {}

    /** Removes a machine that is no longer on the endpoint lists. */
    record RemoveMachine(String machine) implements MaintenanceCommand {}

    /** Sets the health of a machine, as most of the routers that watch it report it. */
    record SetHealth(String machine, boolean healthy) implements MaintenanceCommand {}

    /** Records the start of a router process; from now on drains wait for its confirmation. */
    record RegisterRouter(String router, String incarnation) implements MaintenanceCommand {}

    /** Records that a router process has terminated and will not return. */
    record RemoveRouter(String router, String incarnation) implements MaintenanceCommand {}

    /** Submits an operator's request. */
    record SubmitRequest(MaintenanceRequest request) implements MaintenanceCommand {}

    /** Cancels an operator's request. */
    record CancelRequest(String request, String reason) implements MaintenanceCommand {}

    /** Records that a router starts to drain itself under a grant. */
    record StartDrain(String router, long fencingToken, String incarnation)
            implements MaintenanceCommand {}

    /** Records that a router has nothing in flight at a machine that drains under a grant. */
    record ConfirmDrained(String machine, long fencingToken, String router, String incarnation)
            implements MaintenanceCommand {}

    /** Records that a router serves clients again after its maintenance. */
    record ConfirmServing(String router, String incarnation) implements MaintenanceCommand {}

    /**
     * Records that an operator has finished the work on a machine.
     *
     * @param machine id of the machine; empty for all machines of the request
     * @param lost whether the machine will not return
     */
    record CompleteWork(String request, String machine, boolean lost)
            implements MaintenanceCommand {}

    /**
     * A command that this build cannot decode; it changes nothing.
     *
     * @param content the part of the line that the rejection returns to the proposer
     */
    record Unknown(String content) implements MaintenanceCommand {}
}
