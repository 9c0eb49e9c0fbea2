package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The parts that are held for one router of another site: those that wait for a credit, those that are out,
 * and the ends that nobody has been told yet. It keeps their times. No I/O; times are microseconds.
 */
final class ForwardedPartTable {
    private final List<GatewayChannel> channels;
    private final RemoteRouter.Settings settings;
    /** For a credit; bounded by the patience, each leaves by its credit or in time. */
    private final ArrayDeque<ForwardedPart> queued = new ArrayDeque<>();
    /** What inputs have made of parts; emptied by the decisions of the turn. */
    private final ArrayDeque<ForwardedPart> ended = new ArrayDeque<>();

    private final ArrayDeque<PartStatus> endStatuses = new ArrayDeque<>();
    private final ArrayDeque<ForwardedPart> cancelled = new ArrayDeque<>();
    private int inFlight;
    /** No part's time is over before; early by some, since parts leave in between. */
    private long nextDueAt = Long.MAX_VALUE;

    ForwardedPartTable(List<GatewayChannel> channels, RemoteRouter.Settings settings) {
        this.channels = channels;
        this.settings = settings;
    }

    // ---- Inputs. ----

    /** It waits for a credit, where the bound allows it. */
    void enqueue(ForwardedPart part, long now) {
        if (queued.size() >= settings.maxQueued()) {
            finish(
                    part,
                    PartStatus.REFUSED); // Its bound is reached: as good as turned away over there.
            return;
        }
        part.queueDeadline = Math.min(part.deadline, now + settings.heartbeatUs());
        queued.add(part);
        setDueBy(part.queueDeadline);
    }

    /** The part's outcome is known; its run over there should end too. */
    void cancel(ForwardedPart part) {
        if (part.state == ForwardedPart.State.IN_FLIGHT
                && part.channel.state == GatewayChannel.State.UP) {
            cancelled.add(part);
        }
        release(part);
    }

    /** Its line was cut, and nobody will say on its own any more what becomes of it. */
    void markUnresolved(ForwardedPart part, long now) {
        part.unresolvedSince =
                part.state == ForwardedPart.State.UNRESOLVED ? part.unresolvedSince : now;
        part.state = ForwardedPart.State.UNRESOLVED;
        setDueBy(recoveryDeadline(part));
    }

    private long recoveryDeadline(ForwardedPart part) {
        return part.unresolvedSince + settings.recoveryUs();
    }

    /** It leaves on that line. */
    void assign(ForwardedPart part, GatewayChannel channel) {
        part.channel = channel;
        part.number = channel.nextPartNumber++;
        part.state = ForwardedPart.State.IN_FLIGHT;
        setDueBy(part.deadline);
        channel.openParts.put(part.number, part);
        inFlight++;
    }

    void end(ForwardedPart part, PartStatus status) {
        release(part);
        finish(part, status);
    }

    /** The end of a part that is neither waiting nor out. */
    void finish(ForwardedPart part, PartStatus status) {
        part.state = ForwardedPart.State.ENDED;
        ended.add(part);
        endStatuses.add(status);
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

    /** Parts that wait, and that are out or unsure. */
    int openCount() {
        return queued.size() + inFlight;
    }

    /** Parts that are out or unsure. */
    int inFlight() {
        return inFlight;
    }

    boolean hasQueued() {
        return !queued.isEmpty();
    }

    /** The next one for a credit; it does not wait any more. */
    ForwardedPart pollQueued() {
        return queued.poll();
    }

    /** No part's time is over before. */
    long nextDueAt() {
        return nextDueAt;
    }

    /** All times are looked at in the next decision. */
    void recheckDeadlines() {
        nextDueAt = 0;
    }

    private void setDueBy(long at) {
        nextDueAt = Math.min(nextDueAt, at);
    }

    // ---- Decisions. ----

    /** Says one end, or one part that is given up, if there is any. */
    boolean reportNext(RemoteRouter.ForwardingHandler handler) {
        if (!ended.isEmpty()) {
            handler.partEnded(ended.poll(), endStatuses.poll());
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
                end(
                        part,
                        now >= part.deadline || !isReachable
                                ? PartStatus.NEVER_LEFT
                                : PartStatus.REFUSED);
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
