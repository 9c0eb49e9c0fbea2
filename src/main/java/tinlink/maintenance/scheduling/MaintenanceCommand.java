package tinlink.maintenance.scheduling;

/**
 * A command of the agreed log that changes the state of maintenance ({@link MaintenanceState}). All routers
 * apply the same commands in the same order. {@link MaintenanceCommandCodec} says how each is written.
 */
public sealed interface MaintenanceCommand {
    /** Sets the limits for the whole fleet. The first ones hold. */
    record SetLimits(DisruptionLimits limits) implements MaintenanceCommand {}

    /**
     * Advances agreed time.
     *
     * @param elapsedUs microseconds since the last one, on the leader's monotonic clock
     */
    record AdvanceTime(long elapsedUs) implements MaintenanceCommand {}

    /** Adds a machine, or replaces what is agreed on about it. */
    record RegisterMachine(Machine machine) implements MaintenanceCommand {}

    /** Removes a machine that is on no list any more. */
    record RemoveMachine(String machine) implements MaintenanceCommand {}

    /** Most of those that watch a machine have found it healthy, or have found it unhealthy. */
    record SetHealth(String machine, boolean healthy) implements MaintenanceCommand {}

    /** A process of a router has started: from now on tasks wait for its confirmation. */
    record RegisterRouter(String router, String incarnation) implements MaintenanceCommand {}

    /** A process of a router has ended for good. */
    record RemoveRouter(String router, String incarnation) implements MaintenanceCommand {}

    /** An operator asks for machines. */
    record SubmitRequest(MaintenanceRequest request) implements MaintenanceCommand {}

    /** An operator takes a request back. */
    record CancelRequest(String request, String reason) implements MaintenanceCommand {}

    /** A router starts to drain itself by that grant. */
    record StartDrain(String router, long fencingToken, String incarnation)
            implements MaintenanceCommand {}

    /** A router has nothing in flight any more at a machine that drains by that grant. */
    record ConfirmDrained(String machine, long fencingToken, String router, String incarnation)
            implements MaintenanceCommand {}

    /** A router that was out serves clients again. */
    record ConfirmServing(String router, String incarnation) implements MaintenanceCommand {}

    /**
     * An operator's work is done.
     *
     * @param machine empty for all machines of the request
     * @param lost the machine will not come back
     */
    record CompleteWork(String request, String machine, boolean lost)
            implements MaintenanceCommand {}

    /**
     * Something that this build can't decode; it changes nothing.
     *
     * @param content as far as its proposer is to be told
     */
    record Unknown(String content) implements MaintenanceCommand {}
}
