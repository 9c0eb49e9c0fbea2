package tinlink.config;

import tinlink.decision.LookupClass;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A policy document as this router can use it: the figures of lookups that may change while it
 * serves. Effects and windows are the data nodes' own and stay with each router's file; so do
 * addresses, keys and the machine's limits.
 */
public final class PolicyDocument {
    /**
     * For the lookups that are taken by it; those taken before keep the ones that they were taken
     * by.
     */
    public final Map<String, LookupClass> lookupClasses = new LinkedHashMap<>();
    /** Lookups and parts that may be in flight. */
    public final int maxInFlight;

    /**
     * @param config what this router was started with: what a document can't go beyond here
     * @throws ConfigException naming the key that it can't use, and why
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
        ConfigFile absence =
                file.object("absent"); // Of the change itself, and read by whoever proposes it.
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
