package tinlink.experiment.simulation;

import java.util.Locale;

/**
 * What happens to whom, and when, in a play of work on machines. Requests are events too, so that a schedule
 * can be made smaller.
 */
public record MaintenanceEvent(long atUs, Kind kind, int who, int other) {
    /** Each is named for what happens. */
    public enum Kind {
        ASK,
        ASK_BLOCK,
        CALL_OFF,
        KILL,
        RESTART,
        PAUSE,
        GO_ON,
        CUT,
        CUT_ONE_WAY,
        SPLIT,
        MEND,
        NODE_DIES,
        NODE_BACK,
        OLD_COPY,
        COPY,
        ALL_RESTART,
        LEADER_DIES
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.1fs %s %d %d", atUs / 1e6, kind, who, other);
    }
}
