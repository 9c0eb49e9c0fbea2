package tinlink.experiment.simulation;

import static tinlink.experiment.simulation.Simulation.MS;
import static tinlink.experiment.simulation.Simulation.SEC;

import tinlink.cluster.consensus.LineCodec;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.policy.rollout.AbsencePolicy;
import tinlink.policy.rollout.ChangeCoordinator;
import tinlink.policy.rollout.ChangeParticipant;
import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyChanges;
import tinlink.policy.rollout.PolicyCommand;
import tinlink.policy.rollout.PolicyCommandCodec;
import tinlink.policy.rollout.PolicyVersion;

import java.util.HashMap;
import java.util.Map;

/**
 * A router's control side, paced as in service: it agrees or learns, says that its disk is there,
 * reports, and takes part in changes of policy. What reports say is not looked at here; they are made
 * by the real code, sent and counted.
 */
final class ControlRouter extends SimulatedMember {
    /** Half of one beat of the agreement. */
    private static final long BEAT_US = 125 * MS;

    private static final long REPORT_US = 500 * MS;
    private static final long REPORT_COUNTS_US = 5 * SEC;
    private static final long LEASE_US = REPORT_US / 2;

    final Machine machine;
    final int region;
    /** By epoch, when this router first took lookups by it. */
    final Map<Long, Long> inForceAt = new HashMap<>();

    private final ControlFleet fleet;
    private SharedReplicas<PolicyChanges>.Replica replica;
    private ChangeParticipant participant;
    private ChangeCoordinator coordinator;
    private long listToldAt;
    private long confirmed;
    private long confirmedAskedAt;
    private long awaitedEpoch;

    ControlRouter(ControlFleet fleet, Machine machine, int region) {
        super(fleet.group, machine.id(), machine.voter());
        this.fleet = fleet;
        this.machine = machine;
        this.region = region;
    }

    void start() {
        if (replica != null) {
            replica.release();
        }
        replica = fleet.states.replica();
        startMember(new ControlFleet.SharedPolicyReplica(replica));
        participant = new ChangeParticipant(
                name, incarnation.toString(), incarnation.startCount(), REPORT_US, change -> "");
        coordinator = new ChangeCoordinator(REPORT_US);
        listToldAt = Long.MIN_VALUE / 2;
        confirmed = -1;
        awaitedEpoch = -1;
        joinGroup();
        long run = generation;
        scheduleEvery(run, BEAT_US, this::beat);
        scheduleEvery(run, REPORT_US, this::report);
        scheduleEvery(run, LEASE_US, this::renewLease);
    }

    PolicyChanges changes() {
        return replica.state();
    }

    SharedReplicas<PolicyChanges>.Replica replica() {
        return replica;
    }

    private void beat() {
        restartReplicaIfStuck();
        sayDisk();
        logAdvanced();
    }

    private void tellLeader(MessageKind kind, int body, Runnable arrives) {
        SimulatedMember leader = group.members.get(leaderHint);
        if (leader != null && leader != this) {
            group.network.send(
                    name,
                    leader.name,
                    kind,
                    () -> WireSize.word(name, body),
                    () -> leader.deliver(arrives));
        }
    }

    private void sayDisk() {
        tellLeader(MessageKind.SEAT, WireSize.text(Long.toHexString(disk.id)), () -> {});
    }

    private void report() {
        report(MessageKind.REPORT, MachineReportCodec.encode(new MachineReport.Self(machine)));
        report(MessageKind.REPORT, fleet.soundness(name));
        if (simulation.now() - listToldAt > REPORT_COUNTS_US / 3) {
            listToldAt = simulation.now();
            report(MessageKind.NODE_LIST, fleet.nodeList(region));
        }
    }

    private void report(MessageKind kind, String line) {
        tellLeader(kind, WireSize.INT + line.length(), () -> {});
    }

    // ---- Leases. ----

    private void renewLease() {
        PolicyChange open = changes().openChange();
        boolean leased = changes().inForce().absencePolicy().rule() == AbsencePolicy.Rule.FENCE
                || (open != null && open.absencePolicy().rule() == AbsencePolicy.Rule.FENCE);
        if (!leased) {
            return;
        }
        long askedAt = simulation.now();
        if (isLeader()) {
            raft.confirmCommitIndex((index, failure) -> leaseConfirmed(askedAt, index, failure));
            return;
        }
        tellLeader(MessageKind.CONFIRM, WireSize.LONG, () -> leaderConfirms(askedAt));
    }

    /** Runs at whoever is held to lead, for this router. */
    private void leaderConfirms(long askedAt) {
        ControlRouter leader = fleet.routers.get(leaderHint);
        if (leader != null && leader.isLeader()) {
            leader.raft.confirmCommitIndex(
                    (index, failure) -> leader.confirm(this, askedAt, index, failure));
        }
    }

    private void confirm(ControlRouter asker, long askedAt, Long index, Throwable failure) {
        if (failure == null) {
            group.network.send(
                    name,
                    asker.name,
                    MessageKind.CONFIRMED,
                    () -> WireSize.word(name, 2 * WireSize.LONG),
                    () -> asker.deliver(() -> asker.leaseConfirmed(askedAt, index, null)));
        }
    }

    private void leaseConfirmed(long askedAt, Long index, Throwable failure) {
        if (failure == null && confirmed < 0) {
            confirmed = index;
            confirmedAskedAt = askedAt;
            logAdvanced();
        }
    }

    // ---- Changes of policy. ----

    @Override
    void logAdvanced() {
        PolicyChanges changes = changes();
        participant.updateClocks(simulation.now(), simulation.now());
        if (confirmed >= 0 && learnerLog.index() >= confirmed) {
            participant.leaseGranted(
                    confirmedAskedAt, changes.inForce().absencePolicy().leaseUs());
            confirmed = -1;
        }
        participant.decide(changes, this::propose);
        coordinator.updateClocks(simulation.now(), simulation.now());
        coordinator.setLeader(isLeader());
        coordinator.decide(changes, this::propose);
        lookAtPolicy(changes);
    }

    private void propose(PolicyCommand command) {
        propose(LineCodec.encode(PolicyCommandCodec.encode(command).toArray()));
    }

    /** Notes when it first takes lookups by a version; one that is to come is looked for at its time. */
    private void lookAtPolicy(PolicyChanges changes) {
        PolicyVersion newest = changes.inForce();
        if (inForceAt.containsKey(newest.epoch())) {
            return;
        }
        if (participant.effectivePolicy(changes).epoch() == newest.epoch()) {
            inForceAt.put(newest.epoch(), simulation.now());
        } else if (awaitedEpoch != newest.epoch()) {
            awaitedEpoch = newest.epoch();
            scheduleIn(Math.max(0, newest.effectiveAtUs() - simulation.now()), this::logAdvanced);
        }
    }

    /** Whether lookups are taken here by that epoch, or none are. */
    long takesBy() {
        participant.updateClocks(simulation.now(), simulation.now());
        return participant.effectivePolicy(changes()).epoch();
    }

    @Override
    void answerProposal(SimulatedMember from, String said, Throwable failure) {
        String text = failure == null ? String.valueOf(said) : failure.toString();
        group.network.send(
                name,
                from.name,
                MessageKind.PROPOSED,
                () -> WireSize.word(name, WireSize.LONG + 1 + WireSize.longText(text)),
                () -> {});
    }
}
