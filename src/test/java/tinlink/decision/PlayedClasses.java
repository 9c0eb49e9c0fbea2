package tinlink.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Classes of lookups for recorded plays: those of the scenario files, and a few drawn ones. */
@SuppressWarnings("EnumOrdinal") // What was recorded numbers constants in their order.
final class PlayedClasses {
    private PlayedClasses() {}

    static List<LookupClass> draw(SplittableRandom random) {
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
            double need = 0.3 + 0.7 * random.nextDouble();
            LookupClass one = lookupClass(
                    200 + random.nextInt(2500),
                    need,
                    need * random.nextDouble(),
                    random.nextInt(2) * 0.4,
                    random.nextInt(3) == 0 ? 1 + random.nextInt(3) : 0,
                    LookupClass.Idempotency.values()[random.nextInt(3)]);
            one.partialAnswerWeight = random.nextDouble();
            all.add(one);
        }
        return all;
    }

    /**
     * Each is replaced by one with another latency objective and window; lookups in hand keep
     * theirs.
     */
    static void change(List<LookupClass> all, SplittableRandom random) {
        for (int i = 0; i < all.size(); i++) {
            LookupClass old = all.get(i);
            LookupClass one = lookupClass(
                    1,
                    old.completeShare,
                    old.minimumShare,
                    old.lateAnswerWeight,
                    old.secondStepParts,
                    old.idempotency);
            one.latencyObjectiveUs =
                    Math.max(50_000, old.latencyObjectiveUs * (60 + random.nextInt(70)) / 100);
            one.deadlineUs = 4 * one.latencyObjectiveUs;
            one.deduplicationWindowUs = old.deduplicationWindowUs + random.nextInt(100_000);
            one.partialAnswerWeight = old.partialAnswerWeight;
            all.set(i, one);
        }
    }

    private static LookupClass lookupClass(
            long softMs,
            double need,
            double floor,
            double lateGain,
            int secondStep,
            LookupClass.Idempotency effect) {
        LookupClass one = new LookupClass();
        one.latencyObjectiveUs = 1000 * softMs;
        one.deadlineUs = 4 * one.latencyObjectiveUs;
        one.deduplicationWindowUs = effect == LookupClass.Idempotency.BY_KEY ? 100_000 : 0;
        one.completeShare = need;
        one.minimumShare = floor;
        one.lateAnswerWeight = lateGain;
        one.secondStepParts = secondStep;
        one.idempotency = effect;
        return one;
    }
}
