package tinlink.maintenance;

import tinlink.maintenance.scheduling.Machine;

/**
 * How an operator selects machines: by id, or by labels as in {@code zone=z1,kind=router}, which all have to
 * match.
 */
final class MachineSelector {
    private MachineSelector() {}

    /** Whether it selects by labels, and is no id. */
    static boolean isLabelSelector(String selector) {
        return selector.contains("=");
    }

    /** @throws IllegalArgumentException where it has a label that machines don't have */
    static boolean matches(String selector, Machine machine) {
        if (!isLabelSelector(selector)) {
            return machine.id().equals(selector);
        }
        for (String label : selector.split(",", 0)) {
            if (!matchesLabel(selector, label, machine)) {
                return false;
            }
        }
        return true;
    }

    private static boolean matchesLabel(String selector, String label, Machine machine) {
        int equals = label.indexOf('=');
        if (equals <= 0) {
            return false;
        }
        String value = label.substring(equals + 1);
        return switch (label.substring(0, equals)) {
            case "cell" -> value.equals(Integer.toString(machine.cell()));
            case "zone" -> value.equals(machine.zone());
            case "site" -> value.equals(machine.site());
            case "model" -> value.equals(machine.model());
            case "kind" -> value.equals(machine.isRouter() ? "router" : "node");
            default ->
                throw new IllegalArgumentException(
                        "machines are meant by id, or by cell, zone, site, model, kind: "
                                + selector);
        };
    }
}
