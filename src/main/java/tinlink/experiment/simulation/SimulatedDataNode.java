package tinlink.experiment.simulation;

import tinlink.maintenance.scheduling.Machine;

/** A data node in simulated time: it is up, down, or out because an operator works on it. */
final class SimulatedDataNode {
    final Machine machine;
    boolean up = true;
    /** Since when it has been up or down. */
    long since;
    /** The request by which an operator has it; null where none has. */
    String takenBy;

    SimulatedDataNode(Machine machine) {
        this.machine = machine;
    }
}
