package tinlink.work.choice;

import tinlink.cluster.membership.LineCodec;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The work on one machine of a request. Nothing of it changes but by what all have agreed on. */
public final class Piece {
    final Request request;
    final String machine;
    final long askedAt;
    /** In which order it was asked for. */
    final long number;

    State state = State.WAITING;
    String why = "";
    /** Of its newest grant, 0 before; a grant with another number is over. */
    long fence;
    /** When it came to stand so, in agreed time. */
    long since;
    /** Until when a grant may be begun, in agreed time; then what is out has to be back. */
    long until;
    /**
     * Lives of routers that have nothing open there any more, by their words; emptied at its next
     * grant.
     */
    final Set<String> clear = new LinkedHashSet<>();
    /** A router's: the life of it that acts by its grant. */
    String begunBy = "";
    /** Granted while its machine had failed. */
    boolean dead;
    /** A router's: it has said itself that it serves again. */
    boolean here;
    /** Called back while it drained: it waits again once its machine is back. */
    boolean again;
    /** Called off while it drained: it ends so once its machine is back. */
    boolean calledOff;

    Piece(Request request, String machine, long askedAt, long number) {
        this.request = request;
        this.machine = machine;
        this.askedAt = askedAt;
        this.number = number;
        since = askedAt;
    }

    /** A copy that goes its own way from here. */
    Piece(Piece other) {
        this(other.request, other.machine, other.askedAt, other.number);
        state = other.state;
        why = other.why;
        fence = other.fence;
        since = other.since;
        until = other.until;
        clear.addAll(other.clear);
        begunBy = other.begunBy;
        dead = other.dead;
        here = other.here;
        again = other.again;
        calledOff = other.calledOff;
    }

    public Request request() {
        return request;
    }

    public String machine() {
        return machine;
    }

    public State state() {
        return state;
    }

    public String why() {
        return why;
    }

    /** Whether that life of that router has said that it has nothing open there. */
    public boolean isClearOf(String router, String life) {
        return clear.contains(router + " " + life);
    }

    public boolean isBegunBy(String life) {
        return begunBy.equals(life);
    }

    public boolean here() {
        return here;
    }

    public long fence() {
        return fence;
    }

    public long since() {
        return since;
    }

    public long until() {
        return until;
    }

    /** Its machine can't be counted on. */
    public boolean away() {
        return switch (state) {
            case GRANTED, DRAINING, OUT, RETURNING -> true;
            case OVERDUE -> fence > 0;
            default -> false;
        };
    }

    /** No router is to send its machine anything new. */
    public boolean drains() {
        return away() && state != State.RETURNING;
    }

    public boolean over() {
        return state != State.WAITING && !away();
    }

    String words() {
        return LineCodec.encode(
                "piece",
                request.id(),
                machine,
                askedAt,
                number,
                state,
                why,
                fence,
                since,
                until,
                calledOff,
                here,
                dead,
                again,
                begunBy,
                String.join(",", clear));
    }

    static Piece of(List<String> w, Request r) {
        Piece p = new Piece(r, w.get(2), Long.parseLong(w.get(3)), Long.parseLong(w.get(4)));
        p.state = State.valueOf(w.get(5));
        p.why = w.get(6);
        p.fence = Long.parseLong(w.get(7));
        p.since = Long.parseLong(w.get(8));
        p.until = Long.parseLong(w.get(9));
        p.calledOff = Boolean.parseBoolean(w.get(10));
        p.here = Boolean.parseBoolean(w.get(11));
        p.dead = Boolean.parseBoolean(w.get(12));
        p.again = Boolean.parseBoolean(w.get(13));
        p.begunBy = w.get(14);
        if (!w.get(15).isEmpty()) {
            p.clear.addAll(List.of(w.get(15).split(",")));
        }
        return p;
    }
}
