package tinlink.gateway.choice;

/** A forwarded part as the far router knows it. Fields only; the choice keeps its notes here. */
public class Taken {
    final Origin origin;
    public final long number;
    Fate fate = Fate.RUNNING;
    long endedAt;
    int bytes;

    protected Taken(Origin origin, long number) {
        this.origin = origin;
        this.number = number;
    }

    public Origin origin() {
        return origin;
    }

    public Fate fate() {
        return fate;
    }
}
