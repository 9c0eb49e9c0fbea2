package tinlink.work;

import tinlink.work.choice.Machine;

/**
 * How an operator names machines: by id, or by pairs as {@code zone=z1,kind=router}, which all have to
 * hold.
 */
final class MachinePattern {
    private MachinePattern() {}

    /** It is no id. */
    static boolean isPairs(String pattern) {
        return pattern.contains("=");
    }

    /** @throws IllegalArgumentException where a pair is of no property that machines have */
    static boolean matches(String pattern, Machine machine) {
        if (!isPairs(pattern)) {
            return machine.id().equals(pattern);
        }
        for (String pair : pattern.split(",")) {
            if (!matchesPair(pattern, pair, machine)) {
                return false;
            }
        }
        return true;
    }

    private static boolean matchesPair(String pattern, String pair, Machine machine) {
        int equals = pair.indexOf('=');
        if (equals <= 0) {
            return false;
        }
        String value = pair.substring(equals + 1);
        return switch (pair.substring(0, equals)) {
            case "cell" -> value.equals(Integer.toString(machine.cell()));
            case "zone" -> value.equals(machine.zone());
            case "site" -> value.equals(machine.site());
            case "model" -> value.equals(machine.model());
            case "kind" -> value.equals(machine.isRouter() ? "router" : "node");
            default ->
                throw new IllegalArgumentException(
                        "machines are meant by id, or by cell, zone, site, model, kind: "
                                + pattern);
        };
    }
}
