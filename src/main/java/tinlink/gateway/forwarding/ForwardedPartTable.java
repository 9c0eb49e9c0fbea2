package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The parts that are held for one remote router: those queued for a credit, those sent, and the ends that
 * have not been handed out yet. It keeps their deadlines. No I/O; times are microseconds.
 */
final class ForwardedPartTable {
    private record End(ForwardedPart part, PartStatus status) {}

    private final List<GatewayChannel> channels;
    private final RemoteRouter.Settings settings;
    /** For a credit; bounded by the settings, each leaves by its credit or in time. */
    private final ArrayDeque<ForwardedPart> queued = new ArrayDeque<>();
    /** What inputs have made of parts; emptied by the decisions of the turn. */
    private final ArrayDeque<End> ends = new ArrayDeque<>();

    private final ArrayDeque<ForwardedPart> cancelled = new ArrayDeque<>();
    private int inFlight;
    /** No deadline passes before; early by some, since parts leave in between. */
    private long nextDueAt = Long.MAX_VALUE;

    ForwardedPartTable(List<GatewayChannel> channels, RemoteRouter.Settings settings) {
        this.channels = channels;
        this.settings = settings;
    }

    // ---- Inputs. ----

    /** It waits for a credit, where the bound allows it. */
    void enqueue(ForwardedPart part, long now) {
        if (queued.size() >= settings.maxQueued()) {
            finish(part, PartStatus.REJECTED); // As good as rejected over there.
            return;
        }
        part.queueDeadline = Math.min(part.deadline, now + settings.heartbeatUs());
        queued.add(part);
        setDueBy(part.queueDeadline);
    }

    /** The part's outcome is known; its run over there should end too. */
    void cancel(ForwardedPart part) {
        if (part.state == ForwardedPart.State.IN_FLIGHT && part.channel.isUp()) {
            cancelled.add(part);
        }
        release(part);
    }

    /** Its channel was cut, and nobody will report unasked any more what becomes of it. */
    void markUnresolved(ForwardedPart part, long now) {
        boolean already = part.state == ForwardedPart.State.UNRESOLVED;
        part.unresolvedSince = already ? part.unresolvedSince : now;
        part.state = ForwardedPart.State.UNRESOLVED;
        setDueBy(recoveryDeadline(part));
    }

    private long recoveryDeadline(ForwardedPart part) {
        return part.unresolvedSince + settings.recoveryUs();
    }

    /** It leaves on that channel. */
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

    /** The end of a part that is neither queued nor in flight. */
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

    // ---- What is held. ----

    /** Parts that are queued, in flight or unresolved. */
    int openCount() {
        return queued.size() + inFlight;
    }

    /** Parts that are in flight or unresolved. */
    int inFlight() {
        return inFlight;
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    /** The next one for a credit; it is queued no longer. */
    ForwardedPart pollQueued() {
        return queued.poll();
    }

    /** No deadline passes before. */
    long nextDueAt() {
        return nextDueAt;
    }

    /** All deadlines are looked at in the next decision. */
    void recheckDeadlines() {
        nextDueAt = 0;
    }

    private void setDueBy(long at) {
        nextDueAt = Math.min(nextDueAt, at);
    }

    // ---- Decisions. ----

    /** Hands out one end, or one part that is cancelled. @return false where there is none */
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
     * Ends what is out of time.
     *
     * @param canServe whether the part's cell may be reached now
     * @return whether anything was
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
            boolean isReachable = canServe.test(part);
            if (now >= part.queueDeadline || !isReachable) {
                boolean isLost = now >= part.deadline || !isReachable;
                end(part, isLost ? PartStatus.NOT_SENT : PartStatus.REJECTED);
                anyExpired = true;
            } else {
                setDueBy(part.queueDeadline);
            }
        }
        return anyExpired;
    }

    private boolean expireInFlight(ForwardedPart part, long now) {
        boolean isUnresolved = part.state == ForwardedPart.State.UNRESOLVED;
        if (now >= part.deadline) {
            end(part, PartStatus.NO_ANSWER);
            return true;
        }
        if (isUnresolved && now >= recoveryDeadline(part)) {
            end(part, PartStatus.MAY_HAVE_RUN);
            return true;
        }
        setDueBy(part.deadline);
        if (isUnresolved) {
            setDueBy(recoveryDeadline(part));
        }
        return false;
    }
}
