package tinlink.maintenance.scheduling;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A report of a router to the leader. Routers repeat their reports, since reports can be lost. The sender is
 * not part of a report: it is the authenticated peer of the connection. {@link MachineReportCodec} defines
 * the encoding.
 */
public sealed interface MachineReport
        permits MachineReport.Health,
                MachineReport.FullNodeList,
                NodeListDifference,
                MachineReport.Self,
                MachineReport.Departure {
    /**
     * The health of the machines that the sender watches.
     *
     * @param healthyByMachine by machine id, whether the machine is healthy
     */
    record Health(Map<String, Boolean> healthyByMachine) implements MachineReport {
        /** Copies the map and keeps its order. */
        public Health {
            healthyByMachine = Collections.unmodifiableMap(new LinkedHashMap<>(healthyByMachine));
        }
    }

    /**
     * The full endpoint list of the sender. Only builds from before {@link NodeListDifference} send it.
     *
     * @param site the sender's site
     */
    record FullNodeList(String site, List<Machine> nodes) implements MachineReport {
        /** Copies the list. */
        public FullNodeList {
            nodes = List.copyOf(nodes);
        }
    }

    /** The description of the sender as a machine. */
    record Self(Machine router) implements MachineReport {}

    /** The sender has served its last client and terminates. */
    record Departure(String incarnation) implements MachineReport {}
}
