package tinlink.maintenance;

import tinlink.config.ConfigFile;
import tinlink.policy.PolicyRolloutService;

/** Parses and executes operators' requests. Not thread-safe: all calls come from the event loop's thread. */
final class ControlRequestHandler {
    private final ControlRequestParser parser;
    private final MaintenanceControlCommands maintenanceCommands;
    /** Null if policy is off; the parser then accepts no request about policy. */
    private final PolicyControlCommands policyCommands;

    /** @param policy null if policy is off */
    ControlRequestHandler(MaintenanceService maintenance, PolicyRolloutService policy) {
        ControlViews views = new ControlViews(maintenance);
        parser = new ControlRequestParser(policy != null);
        maintenanceCommands = new MaintenanceControlCommands(maintenance, views, policy);
        policyCommands = policy == null ? null : new PolicyControlCommands(policy, views);
    }

    /**
     * Executes a request. The responder receives the answer, during this call or later.
     *
     * @throws tinlink.config.InvalidInputException if the request is invalid; the message names the key
     * @throws IllegalArgumentException if a value in the request is out of range
     */
    void handle(String json, ControlResponder responder) {
        ControlRequest request = parser.parse(ConfigFile.of("request", json));
        if (!maintenanceCommands.execute(request, responder)) {
            policyCommands.execute(request, responder);
        }
    }
}
