package tinlink.experiment;

import tinlink.emulator.RunLog;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks of the rules from what the data nodes ran and what the clients were told; the routers' own
 * word counts for nothing. Each finding names the lookup.
 */
public final class LookupRules {
    /** On sockets the limits are so much longer. */
    static final long SOCKETS_US = 50_000;

    public final List<String> lost = new ArrayList<>();
    public final List<String> late = new ArrayList<>();
    public final List<String> repeated = new ArrayList<>();
    public final List<String> dishonest = new ArrayList<>();

    public void check(List<LoadGenerator.LookupRecord> all, RunLog runLog) {
        for (LoadGenerator.LookupRecord a : all) {
            checkRepeats(a, runLog);
            if (a.excused) {
                continue; // Its client saw its connection break, and knows that it knows nothing.
            }
            if (a.answer == null || a.answer.status() == 0) {
                lost.add(a.ask.id() + (a.answer == null ? "" : " " + a.answer.body()));
                continue;
            }
            if (a.latencyUs() > 1000 * a.ask.budgetMs() + SOCKETS_US) {
                late.add(a.ask.id() + " " + a.latencyUs() / 1000 + " ms");
            }
            checkHonesty(a, runLog);
        }
    }

    private void checkRepeats(LoadGenerator.LookupRecord a, RunLog runLog) {
        for (int shard : a.ask.shards()) {
            List<RunLog.Run> ran = runLog.runsOf(a.ask.id() + "." + shard);
            for (int i = 1; i < ran.size() && !a.kind.isIdempotent(); i++) {
                if (a.kind.onceOnly()
                        || ran.get(i).atUs() > ran.get(0).atUs() + a.kind.windowUs()) {
                    repeated.add(a.ask.id() + "." + shard + " " + a.kind.name() + " "
                            + ran.stream()
                                    .map(r -> r.node() + " after " + (r.atUs() - a.dueUs) / 1000
                                            + " ms")
                                    .toList());
                    break;
                }
            }
        }
    }

    private void checkHonesty(LoadGenerator.LookupRecord a, RunLog runLog) {
        if (a.isRejected()
                && !a.kind.isIdempotent()
                && a.ask.shards().stream()
                        .anyMatch(s -> !runLog.runsOf(a.ask.id() + "." + s).isEmpty())) {
            dishonest.add(a.ask.id() + " nacked, a part ran");
        }
        if (!a.isSatisfied()) {
            return;
        }
        Map<Integer, String> values = a.answer.values();
        for (Map.Entry<Integer, String> v : values.entrySet()) {
            if (!a.ask.shards().contains(v.getKey())
                    || !v.getValue()
                            .equals(RunLog.value(a.ask.id() + "." + v.getKey(), a.ask.text()))) {
                dishonest.add(a.ask.id() + " has a value that no data node made for it");
            }
        }
        double share = (double) values.size() / a.ask.shards().size();
        if ((a.answer.isComplete() && share < 1 - 1e-6) || share < a.kind.floor() - 1e-6) {
            dishonest.add(a.ask.id() + " has too few parts");
        }
    }

    public boolean areKept() {
        return lost.isEmpty() && late.isEmpty() && repeated.isEmpty() && dishonest.isEmpty();
    }
}
