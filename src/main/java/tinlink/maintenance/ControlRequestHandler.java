package tinlink.maintenance;

import tinlink.config.ConfigFile;
import tinlink.policy.PolicyRolloutService;

/** Has an operator's request parsed and carried out. Belongs to the event loop's thread. */
final class ControlRequestHandler {
    private final ControlRequestParser parser;
    private final MaintenanceControlCommands maintenanceCommands;
    /** Null where policy is off, and then no request about it is parsed. */
    private final PolicyControlCommands policyCommands;

    /** @param policy null where it is off */
    ControlRequestHandler(MaintenanceService maintenance, PolicyRolloutService policy) {
        ControlViews views = new ControlViews(maintenance);
        parser = new ControlRequestParser(policy != null);
        maintenanceCommands = new MaintenanceControlCommands(maintenance, views, policy);
        policyCommands = policy == null ? null : new PolicyControlCommands(policy, views);
    }

    /**
     * Carries out a request; the responder gets the answer, now or later.
     *
     * @throws tinlink.config.InvalidInputException where it can't be understood; it names the key
     * @throws IllegalArgumentException where a value in it is out of range
     */
    void handle(String json, ControlResponder responder) {
        ControlRequest request = parser.parse(ConfigFile.of("request", json));
        if (!maintenanceCommands.execute(request, responder)) {
            policyCommands.execute(request, responder);
        }
    }
}
