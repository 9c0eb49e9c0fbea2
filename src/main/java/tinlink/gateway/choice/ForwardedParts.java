package tinlink.gateway.choice;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The parts that are held for one router of another site: those that wait for a credit, those that are out,
 * and the ends that nobody has been told yet. It keeps their times. No I/O; times are microseconds.
 */
final class ForwardedParts {
    private final List<Lane> lanes;
    private final FarRouter.Patience patience;
    /** For a credit; bounded by the patience, each leaves by its credit or in time. */
    private final ArrayDeque<Forwarded> waiting = new ArrayDeque<>();
    /** What inputs have made of parts; emptied by the decisions of the turn. */
    private final ArrayDeque<Forwarded> ended = new ArrayDeque<>();

    private final ArrayDeque<Fate> fates = new ArrayDeque<>();
    private final ArrayDeque<Forwarded> givenUp = new ArrayDeque<>();
    private int out;
    /** No part's time is over before; early by some, since parts leave in between. */
    private long dueAt = Long.MAX_VALUE;

    ForwardedParts(List<Lane> lanes, FarRouter.Patience patience) {
        this.lanes = lanes;
        this.patience = patience;
    }

    // ---- Inputs. ----

    /** It waits for a credit, where the bound allows it. */
    void add(Forwarded part, long now) {
        if (waiting.size() >= patience.waiting()) {
            finish(part, Fate.REFUSED); // Its bound is reached: as good as turned away over there.
            return;
        }
        part.waitsUntil = Math.min(part.until, now + patience.beatUs());
        waiting.add(part);
        dueBy(part.waitsUntil);
    }

    /** The part's outcome is known; its run over there should end too. */
    void giveUp(Forwarded part) {
        if (part.state == Forwarded.State.OUT && part.lane.state == Lane.State.UP) {
            givenUp.add(part);
        }
        release(part);
    }

    /** Its line was cut, and nobody will say on its own any more what becomes of it. */
    void unsure(Forwarded part, long now) {
        part.unsureSince = part.state == Forwarded.State.UNSURE ? part.unsureSince : now;
        part.state = Forwarded.State.UNSURE;
        dueBy(recoverUntil(part));
    }

    private long recoverUntil(Forwarded part) {
        return part.unsureSince + patience.recoverUs();
    }

    /** It leaves on that line. */
    void leaves(Forwarded part, Lane lane) {
        part.lane = lane;
        part.number = lane.nextNumber++;
        part.state = Forwarded.State.OUT;
        dueBy(part.until);
        lane.parts.put(part.number, part);
        out++;
    }

    void end(Forwarded part, Fate fate) {
        release(part);
        finish(part, fate);
    }

    /** The end of a part that is neither waiting nor out. */
    void finish(Forwarded part, Fate fate) {
        part.state = Forwarded.State.OVER;
        ended.add(part);
        fates.add(fate);
    }

    private void release(Forwarded part) {
        if (part.state == Forwarded.State.WAITS) {
            waiting.remove(part);
        } else if (part.state != Forwarded.State.OVER
                && part.lane.parts.remove(part.number) != null) {
            out--;
        }
        part.state = Forwarded.State.OVER;
    }

    // ---- What is held. ----

    /** Parts that wait, and that are out or unsure. */
    int held() {
        return waiting.size() + out;
    }

    /** Parts that are out or unsure. */
    int out() {
        return out;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** The next one for a credit; it does not wait any more. */
    Forwarded pollWaiting() {
        return waiting.poll();
    }

    /** No part's time is over before. */
    long dueAt() {
        return dueAt;
    }

    /** All times are looked at in the next decision. */
    void dueNow() {
        dueAt = 0;
    }

    private void dueBy(long at) {
        dueAt = Math.min(dueAt, at);
    }

    // ---- Decisions. ----

    /** Says one end, or one part that is given up, if there is any. */
    boolean tell(FarRouter.Hands h) {
        if (!ended.isEmpty()) {
            h.ended(ended.poll(), fates.poll());
            return true;
        }
        if (!givenUp.isEmpty()) {
            h.giveUp(givenUp.poll());
            return true;
        }
        return false;
    }

    /**
     * Ends what is out of time.
     *
     * @param mayServe whether the part's cell may be reached now
     * @return whether anything was
     */
    boolean expire(long now, Predicate<Forwarded> mayServe) {
        if (now < dueAt) {
            return false;
        }
        dueAt = Long.MAX_VALUE;
        boolean any = expireWaiting(now, mayServe);
        for (Lane lane : lanes) {
            for (Forwarded part : List.copyOf(lane.parts.values())) {
                any |= expireOut(part, now);
            }
        }
        return any;
    }

    private boolean expireWaiting(long now, Predicate<Forwarded> mayServe) {
        boolean any = false;
        for (Forwarded part : List.copyOf(waiting)) {
            boolean reachable = mayServe.test(part);
            if (now >= part.waitsUntil || !reachable) {
                end(part, now >= part.until || !reachable ? Fate.NEVER_LEFT : Fate.REFUSED);
                any = true;
            } else {
                dueBy(part.waitsUntil);
            }
        }
        return any;
    }

    private boolean expireOut(Forwarded part, long now) {
        boolean unsure = part.state == Forwarded.State.UNSURE;
        if (now >= part.until) {
            end(part, Fate.NO_ANSWER);
            return true;
        }
        if (unsure && now >= recoverUntil(part)) {
            end(part, Fate.MAY_HAVE_RUN);
            return true;
        }
        dueBy(part.until);
        if (unsure) {
            dueBy(recoverUntil(part));
        }
        return false;
    }
}
