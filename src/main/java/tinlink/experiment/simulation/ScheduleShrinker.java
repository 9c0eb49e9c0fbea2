package tinlink.experiment.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Schedules made smaller: pieces are left out, smaller and smaller ones, while what is left still
 * fails.
 */
final class ScheduleShrinker {
    private ScheduleShrinker() {}

    static <T> List<T> shrink(List<T> whole, Predicate<List<T>> fails) {
        List<T> small = new ArrayList<>(whole);
        int piece = Math.max(1, small.size() / 2);
        while (true) {
            boolean less = false;
            for (int i = 0; i < small.size(); ) {
                List<T> without = new ArrayList<>(small);
                without.subList(i, Math.min(small.size(), i + piece)).clear();
                if (fails.test(without)) {
                    small = without;
                    less = true;
                } else {
                    i += piece;
                }
            }
            if (piece == 1 && !less) {
                return small;
            }
            piece = Math.max(1, piece / 2);
        }
    }
}
