package tinlink.config;

import tinlink.decision.AdmissionController;
import tinlink.decision.AttemptTiming;
import tinlink.decision.CallSharing;
import tinlink.decision.EndpointListPoller;
import tinlink.decision.FastestValidCoordinator;
import tinlink.decision.LookupClass;
import tinlink.decision.QueryCoordinator;
import tinlink.decision.RepeatGuard;
import tinlink.decision.ReplicaDirectory;
import tinlink.decision.ReplicaHealth;
import tinlink.decision.ReplicaSelector;
import tinlink.decision.RetryBudget;
import tinlink.decision.SlowStart;

/**
 * Builds the decision module from its settings, whatever their source; each component gets only the
 * settings that it needs.
 */
public final class DecisionConfig {
    public final LookupClass[] lookupClasses;
    public final QueryCoordinator module;
    /** The maximum number of lookups and parts in flight. */
    final int maxInFlight;
    /** The longest Retry-After that clients are sent, in microseconds; 0 if none is sent. */
    final long maxRetryAfterUs;

    public DecisionConfig(long seed, FlatSettings settings) {
        lookupClasses = new LookupClass[settings.count("profiles.count", 0, 0)];
        long longestObjectiveUs = 1;
        for (int i = 0; i < lookupClasses.length; i++) {
            lookupClasses[i] = lookupClass(settings, i);
            longestObjectiveUs = Math.max(longestObjectiveUs, lookupClasses[i].latencyObjectiveUs);
        }
        maxInFlight = settings.integer("limits.openCap", 1000);
        maxRetryAfterUs = settings.flag("limits.retryAfter")
                ? settings.micros("limits.maxRetryAfterMs", 0)
                : 0;
        module = coordinator(seed, longestObjectiveUs, settings);
    }

    /** Reads the settings in the order in which invalid settings are reported. */
    private QueryCoordinator coordinator(
            long seed, long longestObjectiveUs, FlatSettings settings) {
        AttemptTiming timing = new AttemptTiming(settings.micros("stepMs", 1000));
        RepeatGuard guard = new RepeatGuard(
                timing,
                settings.integer("limits.tryLimit", 1),
                settings.flag("limits.secondCopies"),
                settings.flag("limits.cancel"));
        ReplicaHealth health = new ReplicaHealth(longestObjectiveUs);
        ReplicaDirectory replicas = new ReplicaDirectory(
                settings.count("familyInfo.sets", 1, 1),
                settings.integer("familyInfo.reach", 1),
                health);
        CallSharing callSharing = new CallSharing(
                settings.integer("familyInfo.bundleMax", 1),
                settings.micros("familyInfo.callMs", 0));
        int zone = settings.integer("zone", 0);
        double crossZonePrice = settings.number("charges.crossZone", 0);
        SlowStart slowStart = new SlowStart(
                seed,
                settings.integer("groupSize", 1),
                settings.number("rules.startCapacity", 1),
                settings.micros("rules.coldMs", 0),
                settings.number("rules.fallMultiple", 1),
                settings.micros("rules.fallMs", 0),
                health);
        RetryBudget budget = new RetryBudget(
                settings.micros("rules.lookBackMs", 0),
                settings.number("rules.minExtra", 0),
                settings.number("rules.resendRatio", 0),
                maxInFlight);
        EndpointListPoller poller = new EndpointListPoller(
                seed,
                settings.text("discovery", "pushed").equals("on_request"),
                settings.micros("rules.mustAskInMs", 1_000_000));
        return new FastestValidCoordinator(
                timing,
                guard,
                new ReplicaSelector(replicas, slowStart, callSharing, zone, crossZonePrice, health),
                health,
                budget,
                new AdmissionController(seed, maxRetryAfterUs),
                poller);
    }

    private static LookupClass lookupClass(FlatSettings settings, int i) {
        String prefix = "profiles." + i + ".";
        LookupClass lookupClass = new LookupClass();
        String effect = settings.text(prefix + "effect", "pure");
        lookupClass.idempotency = switch (effect) {
            case "pure" -> LookupClass.Idempotency.IDEMPOTENT;
            case "token" -> LookupClass.Idempotency.BY_KEY;
            case "side_effect" -> LookupClass.Idempotency.ONCE_ONLY;
            default -> throw settings.invalid(prefix + "effect", "is not known: " + effect);
        };
        lookupClass.deadlineUs = settings.micros(prefix + "deadlineMs", 1_000_000);
        lookupClass.latencyObjectiveUs =
                settings.micros(prefix + "onTimeMs", lookupClass.deadlineUs);
        lookupClass.deduplicationWindowUs = settings.micros(prefix + "windowMs", 0);
        lookupClass.priorityWeight = settings.number(prefix + "worth", 1);
        lookupClass.lateAnswerWeight = settings.number(prefix + "lateWorth", 0);
        lookupClass.completeShare = settings.item("familyInfo.completeFrom", i, 1);
        lookupClass.minimumShare =
                settings.item("familyInfo.minShare", i, lookupClass.completeShare);
        lookupClass.partialAnswerWeight = settings.item("familyInfo.incompleteWorth", i, 0);
        lookupClass.secondStepParts = (int) settings.item("familyInfo.followUp", i, 0);
        return lookupClass;
    }
}
