package tinlink.config;

import tinlink.decision.LookupClass;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A policy document as applied by this router: the settings of lookups that may change at run time.
 * Idempotency and deduplication windows are properties of the data nodes and stay in each router's
 * file, as do addresses, keys and the limits of the machine.
 */
public final class PolicyDocument {
    /**
     * The lookup classes for lookups that are accepted under this policy; lookups accepted earlier
     * keep the classes under which they were accepted.
     */
    public final Map<String, LookupClass> lookupClasses = new LinkedHashMap<>();
    /** The maximum number of lookups and parts in flight. */
    public final int maxInFlight;

    /**
     * Parses a policy document.
     *
     * @param config the configuration of this router, which limits what a document may set
     * @throws ConfigException naming the invalid key and the problem
     */
    public PolicyDocument(String text, RouterConfig config) {
        this(ConfigFile.of("policy", text), config);
    }

    private PolicyDocument(ConfigFile file, RouterConfig config) {
        lookupClasses.putAll(config.lookups.lookupClasses());
        ConfigFile classEntries = file.object("indexes");
        for (String name : classEntries.keys()) {
            LookupClass configured = config.lookups.lookupClasses().get(name);
            if (configured == null) {
                throw classEntries.invalid(
                        name,
                        "is no index of this router's: "
                                + String.join(
                                        ", ", config.lookups.lookupClasses().keySet()));
            }
            lookupClasses.put(name, lookupClass(classEntries.object(name), configured));
        }
        maxInFlight = file.integer(
                "open_cap", config.lookups.maxInFlight(), 1, config.maxInFlightOfPolicy);
        // These terms belong to the proposal; the proposer reads them.
        ConfigFile absence = file.object("absent");
        absence.text("rule", "");
        for (String key : List.of("wait_ms", "hold_ms", "lease_ms", "clock_error_ms")) {
            absence.number(key, 0, 0, 3_600_000);
        }
        file.rejectUnknownKeys();
    }

    private static LookupClass lookupClass(ConfigFile file, LookupClass configured) {
        LookupClass lookupClass = new LookupClass();
        lookupClass.idempotency = configured.idempotency;
        lookupClass.deduplicationWindowUs = configured.deduplicationWindowUs;
        lookupClass.secondStepParts = configured.secondStepParts;
        lookupClass.deadlineUs = configured.deadlineUs;
        lookupClass.latencyObjectiveUs = file.micros(
                "soft_ms",
                configured.latencyObjectiveUs / 1000.0,
                1,
                configured.deadlineUs / 1000.0);
        lookupClass.priorityWeight = file.number("gain", configured.priorityWeight, 0, 1e6);
        lookupClass.lateAnswerWeight =
                file.number("late_gain", configured.lateAnswerWeight, 0, 1e6);
        lookupClass.completeShare = file.number("need", configured.completeShare, 1e-6, 1);
        lookupClass.minimumShare = file.number(
                "floor",
                Math.min(configured.minimumShare, lookupClass.completeShare),
                0,
                lookupClass.completeShare);
        lookupClass.partialAnswerWeight =
                file.number("partial_gain", configured.partialAnswerWeight, 0, 1e6);
        return lookupClass;
    }
}
