package tinlink.maintenance;

import tinlink.cluster.ClusterNode;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.MemberState;
import tinlink.maintenance.scheduling.AgreedNodes;
import tinlink.maintenance.scheduling.Machine;
import tinlink.maintenance.scheduling.MachineFailureDetector;
import tinlink.maintenance.scheduling.MachineReport;
import tinlink.maintenance.scheduling.MachineReportCodec;
import tinlink.maintenance.scheduling.NodeListDifference;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Reports this router's observations to the leader: the router itself, the health of the machines that it
 * watches, and its list of data nodes. Not thread-safe: all calls come from the event loop's thread.
 */
final class ObservationReporter {
    private final ClusterNode cluster;
    private final MachineFailureDetector failureDetector;
    private final MaintenanceSettings settings;
    private NodeListDifference reportedList;
    private long listReportedAtUs = Long.MIN_VALUE;

    ObservationReporter(
            ClusterNode cluster,
            MachineFailureDetector failureDetector,
            MaintenanceSettings settings) {
        this.cluster = cluster;
        this.failureDetector = failureDetector;
        this.settings = settings;
    }

    /** Assigns the listed data nodes and all other routers to the failure detector. */
    void updateAssignment(Collection<MaintenanceService.ListedNode> listed) {
        List<String> alive = new ArrayList<>(List.of(routerName()));
        List<String> known = new ArrayList<>();
        for (Member member : cluster.membership().members()) {
            known.add(member.router());
            if (member.state() == MemberState.ALIVE) {
                alive.add(member.router());
            }
        }
        failureDetector.assign(
                alive,
                known,
                listed.stream().map(MaintenanceService.ListedNode::id).toList());
    }

    /**
     * Sends one round of reports.
     *
     * @param agreed the nodes in the replicated state, as far as this router has applied the log
     */
    void report(Collection<MaintenanceService.ListedNode> listed, AgreedNodes agreed, long nowUs) {
        Map<String, Boolean> healthyByMachine = failureDetector.observations();
        for (Member member : cluster.membership().members()) {
            if (failureDetector.watches(member.router())) {
                healthyByMachine.put(
                        member.router(),
                        member.state() == MemberState.ALIVE && member.duplicate() == null);
            }
        }
        send(new MachineReport.Self(self()));
        send(new MachineReport.Health(healthyByMachine));
        List<Machine> nodes = listed.stream().map(this::machine).toList();
        reportList(NodeListDifference.between(settings.location().site(), nodes, agreed), nowUs);
    }

    /** Sends the list if it has changed, or if the previous report of it has used a third of its lifetime. */
    private void reportList(NodeListDifference difference, long nowUs) {
        if (!difference.equals(reportedList)
                || nowUs - listReportedAtUs > settings.reportExpiryUs() / 3) {
            reportedList = difference;
            listReportedAtUs = nowUs;
            send(difference);
        }
    }

    /** Reports that this router is leaving. */
    void reportDeparture() {
        send(new MachineReport.Departure(cluster.incarnation().toString()));
    }

    private void send(MachineReport report) {
        cluster.reportToLeader(MachineReportCodec.encode(report));
    }

    private Machine self() {
        return new Machine(
                routerName(),
                Machine.Kind.ROUTER,
                -1,
                settings.location().zone(),
                settings.location().site(),
                "router",
                cluster.voters().contains(routerName()));
    }

    private Machine machine(MaintenanceService.ListedNode node) {
        return new Machine(
                node.id(),
                Machine.Kind.NODE,
                node.cell(),
                node.zone(),
                settings.location().siteOf(node.zone()),
                node.model(),
                false);
    }

    private String routerName() {
        return cluster.incarnation().router();
    }
}
