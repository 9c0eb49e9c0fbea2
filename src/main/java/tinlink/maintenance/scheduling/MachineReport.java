package tinlink.maintenance.scheduling;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a router reports to the leader, again and again, since reports get lost. Its sender is known from the
 * link. {@link MachineReportCodec} says how each is written.
 */
public sealed interface MachineReport
        permits MachineReport.Health,
                MachineReport.FullNodeList,
                NodeListDifference,
                MachineReport.Self,
                MachineReport.Departure {
    /** Whether the machines that the sender watches are healthy, by their ids. */
    record Health(Map<String, Boolean> healthyByMachine) implements MachineReport {
        /** Copies the map, in its order. */
        public Health {
            healthyByMachine = Collections.unmodifiableMap(new LinkedHashMap<>(healthyByMachine));
        }
    }

    /**
     * The sender's list of data nodes in full, as builds before {@link NodeListDifference} report it.
     *
     * @param site the sender's own
     */
    record FullNodeList(String site, List<Machine> nodes) implements MachineReport {
        /** Copies the list. */
        public FullNodeList {
            nodes = List.copyOf(nodes);
        }
    }

    /** The sender itself, as a machine. */
    record Self(Machine router) implements MachineReport {}

    /** The sender has let its last client go, and ends. */
    record Departure(String incarnation) implements MachineReport {}
}
