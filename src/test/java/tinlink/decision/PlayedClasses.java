package tinlink.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Lookup classes for recorded plays: those of the scenario files, and a few random ones. */
@SuppressWarnings("EnumOrdinal") // The recorded transcript contains ordinals.
final class PlayedClasses {
    private PlayedClasses() {}

    static List<LookupClass> create(SplittableRandom random) {
        List<LookupClass> all = new ArrayList<>(List.of(
                lookupClass(900, 1, 1, 0, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(1800, 1, 1, 0, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 1, 1, 0.3, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 0.5, 0.5, 0, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 0.5, 0.5, 0, 2, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 0.66, 0.66, 0, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 1, 0.5, 0, 0, LookupClass.Idempotency.IDEMPOTENT),
                lookupClass(900, 1, 1, 0, 0, LookupClass.Idempotency.ONCE_ONLY),
                lookupClass(900, 1, 1, 0, 0, LookupClass.Idempotency.BY_KEY)));
        for (int i = 0; i < 4; i++) {
            double completeShare = 0.3 + 0.7 * random.nextDouble();
            LookupClass lookupClass = lookupClass(
                    200 + random.nextInt(2500),
                    completeShare,
                    completeShare * random.nextDouble(),
                    random.nextInt(2) * 0.4,
                    random.nextInt(3) == 0 ? 1 + random.nextInt(3) : 0,
                    LookupClass.Idempotency.values()[random.nextInt(3)]);
            lookupClass.partialAnswerWeight = random.nextDouble();
            all.add(lookupClass);
        }
        return all;
    }

    /**
     * Replaces each class by one with another latency objective and deduplication window. Lookups in flight
     * keep their class.
     */
    static void change(List<LookupClass> all, SplittableRandom random) {
        for (int i = 0; i < all.size(); i++) {
            LookupClass previous = all.get(i);
            LookupClass lookupClass = lookupClass(
                    1,
                    previous.completeShare,
                    previous.minimumShare,
                    previous.lateAnswerWeight,
                    previous.secondStepParts,
                    previous.idempotency);
            lookupClass.latencyObjectiveUs =
                    Math.max(50_000, previous.latencyObjectiveUs * (60 + random.nextInt(70)) / 100);
            lookupClass.deadlineUs = 4 * lookupClass.latencyObjectiveUs;
            lookupClass.deduplicationWindowUs =
                    previous.deduplicationWindowUs + random.nextInt(100_000);
            lookupClass.partialAnswerWeight = previous.partialAnswerWeight;
            all.set(i, lookupClass);
        }
    }

    private static LookupClass lookupClass(
            long latencyObjectiveMs,
            double completeShare,
            double minimumShare,
            double lateAnswerWeight,
            int secondStepParts,
            LookupClass.Idempotency idempotency) {
        LookupClass lookupClass = new LookupClass();
        lookupClass.latencyObjectiveUs = 1000 * latencyObjectiveMs;
        lookupClass.deadlineUs = 4 * lookupClass.latencyObjectiveUs;
        lookupClass.deduplicationWindowUs =
                idempotency == LookupClass.Idempotency.BY_KEY ? 100_000 : 0;
        lookupClass.completeShare = completeShare;
        lookupClass.minimumShare = minimumShare;
        lookupClass.lateAnswerWeight = lateAnswerWeight;
        lookupClass.secondStepParts = secondStepParts;
        lookupClass.idempotency = idempotency;
        return lookupClass;
    }
}
