package tinlink.experiment.simulation;

import java.util.Locale;

/** What happens to whom, when and for how long, in a play of changes of policy. */
public record PolicyEvent(long atUs, Kind kind, int who, long forUs) {
    /** Each is named for what happens. */
    public enum Kind {
        PROPOSE,
        KILL,
        PAUSE,
        CUT,
        CUT_OUT,
        LEADER,
        NO_MAJORITY,
        REFUSES,
        WITHDRAW,
        STEP
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.2fs %s %d %.2fs", atUs / 1e6, kind, who, forUs / 1e6);
    }
}
