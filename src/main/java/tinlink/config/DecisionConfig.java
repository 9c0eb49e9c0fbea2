package tinlink.config;

import tinlink.decision.Aggregator;
import tinlink.decision.FastestValid;
import tinlink.decision.Index;

/** Builds the decision module from its settings, whichever source they have; each part gets its own few. */
public final class DecisionConfig {
    public final Index[] lookupClasses;
    public final Aggregator module;
    /** Lookups and parts that may be in flight. */
    final int maxInFlight;
    /** The longest Retry-After that clients are given; 0 where they are given none. */
    final long maxRetryAfterUs;

    public DecisionConfig(long seed, FlatSettings settings) {
        lookupClasses = new Index[settings.count("profiles.count", 0, 0)];
        long longestSoftUs = 1;
        for (int i = 0; i < lookupClasses.length; i++) {
            lookupClasses[i] = lookupClass(settings, i);
            longestSoftUs = Math.max(longestSoftUs, lookupClasses[i].softUs);
        }
        maxInFlight = settings.integer("limits.openCap", 1000);
        maxRetryAfterUs = settings.flag("limits.retryAfter") ? settings.micros("limits.maxRetryAfterMs", 0) : 0;
        FastestValid.Health health = new FastestValid.Health(longestSoftUs);
        module = new FastestValid(
                new FastestValid.Rounds(
                        settings.micros("stepMs", 1000),
                        settings.integer("limits.tryLimit", 1),
                        settings.flag("limits.secondCopies"),
                        settings.flag("limits.cancel")),
                new FastestValid.Replicas(
                        settings.count("familyInfo.sets", 1, 1),
                        settings.integer("familyInfo.reach", 1),
                        settings.integer("familyInfo.bundleMax", 1),
                        settings.micros("familyInfo.callMs", 0),
                        settings.integer("zone", 0),
                        settings.number("charges.crossZone", 0),
                        health),
                health,
                new FastestValid.ColdGuard(
                        seed,
                        settings.integer("groupSize", 1),
                        settings.number("rules.startCapacity", 1),
                        settings.micros("rules.coldMs", 0),
                        settings.number("rules.fallMultiple", 1),
                        settings.micros("rules.fallMs", 0),
                        health),
                new FastestValid.Budget(
                        settings.micros("rules.lookBackMs", 0),
                        settings.number("rules.minExtra", 0),
                        settings.number("rules.resendRatio", 0),
                        maxInFlight),
                new FastestValid.Admission(seed, maxRetryAfterUs),
                new FastestValid.ListFollowing(
                        seed,
                        settings.text("discovery", "pushed").equals("on_request"),
                        settings.micros("rules.mustAskInMs", 1_000_000)));
    }

    private static Index lookupClass(FlatSettings settings, int i) {
        String prefix = "profiles." + i + ".";
        Index lookupClass = new Index();
        String effect = settings.text(prefix + "effect", "pure");
        lookupClass.effect = switch (effect) {
            case "pure" -> Index.Effect.IDEMPOTENT;
            case "token" -> Index.Effect.FINGERPRINTED;
            case "side_effect" -> Index.Effect.ONCE_ONLY;
            default -> throw settings.invalid(prefix + "effect", "is not known: " + effect);
        };
        lookupClass.hardUs = settings.micros(prefix + "deadlineMs", 1_000_000);
        lookupClass.softUs = settings.micros(prefix + "onTimeMs", lookupClass.hardUs);
        lookupClass.windowUs = settings.micros(prefix + "windowMs", 0);
        lookupClass.gain = settings.number(prefix + "worth", 1);
        lookupClass.lateGain = settings.number(prefix + "lateWorth", 0);
        lookupClass.need = settings.item("familyInfo.completeFrom", i, 1);
        lookupClass.floor = settings.item("familyInfo.minShare", i, lookupClass.need);
        lookupClass.partialGain = settings.item("familyInfo.incompleteWorth", i, 0);
        lookupClass.secondStep = (int) settings.item("familyInfo.followUp", i, 0);
        return lookupClass;
    }
}
