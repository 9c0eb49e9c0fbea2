package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The parts to be forwarded to one remote router: parts queued for a credit, parts sent, and ended parts that
 * have not been reported yet. The table enforces the deadlines of the parts. No I/O; times are microseconds.
 */
final class ForwardedPartTable {
    private record End(ForwardedPart part, PartStatus status) {}

    private final List<GatewayChannel> channels;
    private final RemoteRouter.Settings settings;
    /** The parts that wait for a credit; bounded by {@code maxQueued}, each at most until its deadline. */
    private final ArrayDeque<ForwardedPart> queued = new ArrayDeque<>();
    /** The ends of parts that inputs have caused; emptied by the decisions of the turn. */
    private final ArrayDeque<End> ends = new ArrayDeque<>();

    private final ArrayDeque<ForwardedPart> cancelled = new ArrayDeque<>();
    private int inFlight;
    /** A lower bound of the next deadline; it can be too early, as parts end before their deadlines. */
    private long nextDueAt = Long.MAX_VALUE;

    ForwardedPartTable(List<GatewayChannel> channels, RemoteRouter.Settings settings) {
        this.channels = channels;
        this.settings = settings;
    }

    // ---- Inputs. ----

    /** Queues the part for a credit, or rejects the part if the queue is full. */
    void enqueue(ForwardedPart part, long now) {
        if (queued.size() >= settings.maxQueued()) {
            finish(part, PartStatus.REJECTED); // Equivalent to a rejection by the remote router.
            return;
        }
        part.queueDeadline = Math.min(part.deadline, now + settings.heartbeatUs());
        queued.add(part);
        setDueBy(part.queueDeadline);
    }

    /** Cancels a part whose outcome is known already, on the remote router too. */
    void cancel(ForwardedPart part) {
        if (part.state == ForwardedPart.State.IN_FLIGHT && part.channel.isUp()) {
            cancelled.add(part);
        }
        release(part);
    }

    /** Records that the part's channel was cut; the remote router now reports its status only if queried. */
    void markUnresolved(ForwardedPart part, long now) {
        boolean unresolved = part.state == ForwardedPart.State.UNRESOLVED;
        part.unresolvedSince = unresolved ? part.unresolvedSince : now;
        part.state = ForwardedPart.State.UNRESOLVED;
        setDueBy(recoveryDeadline(part));
    }

    private long recoveryDeadline(ForwardedPart part) {
        return part.unresolvedSince + settings.recoveryUs();
    }

    /** Assigns the part, which is sent now, to the channel. */
    void assign(ForwardedPart part, GatewayChannel channel) {
        part.state = ForwardedPart.State.IN_FLIGHT;
        setDueBy(part.deadline);
        channel.assign(part);
        inFlight++;
    }

    void end(ForwardedPart part, PartStatus status) {
        release(part);
        finish(part, status);
    }

    /** Records the end of a part that is neither queued nor in flight. */
    void finish(ForwardedPart part, PartStatus status) {
        part.state = ForwardedPart.State.ENDED;
        ends.add(new End(part, status));
    }

    private void release(ForwardedPart part) {
        if (part.state == ForwardedPart.State.QUEUED) {
            queued.remove(part);
        } else if (part.state != ForwardedPart.State.ENDED
                && part.channel.openParts.remove(part.number) != null) {
            inFlight--;
        }
        part.state = ForwardedPart.State.ENDED;
    }

    // ---- State. ----

    /** The number of parts that are queued, in flight or unresolved. */
    int openCount() {
        return queued.size() + inFlight;
    }

    /** The number of parts that are in flight or unresolved. */
    int inFlight() {
        return inFlight;
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    /** Removes and returns the next part of the queue; null if the queue is empty. */
    ForwardedPart pollQueued() {
        return queued.poll();
    }

    /** A lower bound of the next deadline. */
    long nextDueAt() {
        return nextDueAt;
    }

    /** Makes the next decision check all deadlines. */
    void recheckDeadlines() {
        nextDueAt = 0;
    }

    private void setDueBy(long at) {
        nextDueAt = Math.min(nextDueAt, at);
    }

    // ---- Decisions. ----

    /** Reports one ended part, or sends one cancel. @return false if there is neither */
    boolean reportNext(ForwardingHandler handler) {
        if (!ends.isEmpty()) {
            End end = ends.poll();
            handler.partEnded(end.part(), end.status());
            return true;
        }
        if (!cancelled.isEmpty()) {
            handler.sendCancel(cancelled.poll());
            return true;
        }
        return false;
    }

    /**
     * Ends the parts whose deadline has passed, and queued parts whose cell can't be reached any more.
     *
     * @param canServe whether the part's cell can be reached now
     * @return whether any part was ended
     */
    boolean expire(long now, Predicate<ForwardedPart> canServe) {
        if (now < nextDueAt) {
            return false;
        }
        nextDueAt = Long.MAX_VALUE;
        boolean anyExpired = expireQueued(now, canServe);
        for (GatewayChannel channel : channels) {
            for (ForwardedPart part : List.copyOf(channel.openParts.values())) {
                anyExpired |= expireInFlight(part, now);
            }
        }
        return anyExpired;
    }

    private boolean expireQueued(long now, Predicate<ForwardedPart> canServe) {
        boolean anyExpired = false;
        for (ForwardedPart part : List.copyOf(queued)) {
            boolean reachable = canServe.test(part);
            if (now >= part.queueDeadline || !reachable) {
                boolean lost = now >= part.deadline || !reachable;
                end(part, lost ? PartStatus.NOT_SENT : PartStatus.REJECTED);
                anyExpired = true;
            } else {
                setDueBy(part.queueDeadline);
            }
        }
        return anyExpired;
    }

    private boolean expireInFlight(ForwardedPart part, long now) {
        boolean unresolved = part.state == ForwardedPart.State.UNRESOLVED;
        if (now >= part.deadline) {
            end(part, PartStatus.NO_ANSWER);
            return true;
        }
        if (unresolved && now >= recoveryDeadline(part)) {
            end(part, PartStatus.MAY_HAVE_RUN);
            return true;
        }
        setDueBy(part.deadline);
        if (unresolved) {
            setDueBy(recoveryDeadline(part));
        }
        return false;
    }
}
