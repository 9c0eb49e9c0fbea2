package tinlink.maintenance;

import tinlink.maintenance.scheduling.Machine;

/**
 * Matches machines against an operator's selector. A selector is either an id or a list of labels such as
 * {@code zone=z1,kind=router}; a machine has to match all of the labels.
 */
final class MachineSelector {
    private MachineSelector() {}

    /** Whether the selector is a list of labels and not an id. */
    static boolean isLabelSelector(String selector) {
        return selector.contains("=");
    }

    /** @throws IllegalArgumentException if the selector has a label that machines don't have */
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
