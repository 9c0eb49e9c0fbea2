package tinlink.experiment.simulation;

import tinlink.policy.rollout.PolicyChange;
import tinlink.policy.rollout.PolicyCommand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * By which policy lookups may have been taken when: a small model that knows nothing of the choices, only
 * outcomes as operators were told them, agreed lines, and times.
 */
final class PolicyChecks {
    private static final int MOST_VIOLATIONS = 5;

    /** A lookup that was taken. */
    private record Taken(long atUs, long epoch, int router) {}

    /** A command, and when it was agreed on. */
    private record Agreed(long atUs, PolicyCommand command) {}

    private final long clockErrorUs;
    private final List<String> violations = new ArrayList<>();
    private final List<Taken> taken = new ArrayList<>();
    private final List<Agreed> commands = new ArrayList<>();
    /** By id of the change: its state, epoch and time, as it was first told. */
    private final Map<String, String> outcomes = new LinkedHashMap<>();

    PolicyChecks(long clockErrorUs) {
        this.clockErrorUs = clockErrorUs;
    }

    List<String> violations() {
        return violations;
    }

    void violated(String what) {
        violations.add(what);
    }

    void agreed(long atUs, PolicyCommand command) {
        commands.add(new Agreed(atUs, command));
    }

    void taken(long atUs, long epoch, int router) {
        taken.add(new Taken(atUs, epoch, router));
    }

    int takenCount() {
        return taken.size();
    }

    /** An operator was told how that change has ended. */
    void told(PolicyChange change) {
        String how = change.state() + " " + change.epoch() + " " + change.effectiveAtUs();
        String before = outcomes.putIfAbsent(change.changeId(), how);
        if (before != null && !before.equals(how)) {
            violated("flipped: " + change.changeId() + " " + before + " / " + how);
        }
    }

    int settled() {
        return outcomes.size();
    }

    int inForce() {
        return (int)
                outcomes.values().stream().filter(o -> o.startsWith("IN_FORCE")).count();
    }

    /** Looks through all that was taken. */
    void check(long healedAtUs) {
        TreeMap<Long, Long> beginsAt = new TreeMap<>(Map.of(0L, 0L));
        Map<Long, Long> settledAt = new HashMap<>(Map.of(0L, 0L));
        outcomes.forEach((id, how) -> {
            String[] parts = how.split(" ", 0);
            if (parts[0].equals("IN_FORCE")) {
                long epoch = Long.parseLong(parts[1]);
                beginsAt.put(epoch, Long.parseLong(parts[2]));
                settledAt(id, Long.parseLong(parts[2])).ifPresent(at -> settledAt.put(epoch, at));
            }
        });
        for (Taken one : taken) {
            check(one, beginsAt, settledAt);
            if (violations.size() > MOST_VIOLATIONS) {
                return;
            }
        }
        if (taken.stream().noneMatch(t -> t.atUs() > healedAtUs)) {
            violated("nothing was taken after all had healed");
        }
    }

    /** When it was first agreed that the change takes hold then. */
    private Optional<Long> settledAt(String change, long time) {
        return commands.stream()
                .filter(agreed -> agreed.command() instanceof PolicyCommand.Commit commit
                        && commit.changeId().equals(change)
                        && commit.effectiveAtUs() == time)
                .map(Agreed::atUs)
                .findFirst();
    }

    private void check(Taken one, Map<Long, Long> beginsAt, Map<Long, Long> settledAt) {
        Long begins = beginsAt.get(one.epoch());
        Long ends = beginsAt.get(one.epoch() + 1);
        Long settled = settledAt.get(one.epoch());
        boolean early = begins == null
                || settled == null
                || one.atUs() < settled
                || one.atUs() < begins - clockErrorUs;
        if (early) {
            violated("early: r" + one.router() + " took by epoch " + one.epoch() + " at "
                    + one.atUs() + ", settled " + settled + ", from " + begins);
        }
        if (ends != null && one.atUs() > ends + clockErrorUs) {
            violated("after_old: r" + one.router() + " took by epoch " + one.epoch() + " at "
                    + one.atUs() + ", over at " + ends);
        }
    }
}
