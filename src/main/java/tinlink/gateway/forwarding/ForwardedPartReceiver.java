package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;

/**
 * Makes the decisions about the parts that routers of other sites forward to this router: which parts start,
 * which are duplicates, which status is reported, how many parts each channel may have in flight, and when
 * parts and channels are forgotten. A part number that was seen before never runs again.
 *
 * <p>Inputs only update the state; the owner calls {@link #decide} until it returns false. No I/O, no clock;
 * times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class ForwardedPartReceiver {
    /**
     * The limits on the parts of other sites.
     *
     * @param maxRunning how many parts of other sites may run on this router at a time
     * @param maxEnded how many ended parts are remembered
     * @param maxEndedBytes the total size of the values of ended parts, in bytes
     * @param maxChannels how many channels of other sites' routers are known at a time
     * @param retentionUs how long a disconnected channel is remembered; no client waits longer
     * @param adjustIntervalUs the interval at which the credit windows are adjusted to rejections
     */
    public record Limits(
            int maxRunning,
            int maxEnded,
            long maxEndedBytes,
            int maxChannels,
            long retentionUs,
            long adjustIntervalUs) {}

    private final Limits limits;
    private final InboundChannelTable channels;
    private final EndedPartCache endedParts;
    private final ConcurrencyLimit concurrencyLimit;
    /** The decisions that inputs have caused; emptied by {@link #decide} in the same turn. */
    private final ArrayDeque<ReceiverDecision> pendingDecisions = new ArrayDeque<>();

    private int running;
    private boolean draining;
    private long now;
    /** The time of the requested wake-up; {@link Long#MAX_VALUE} if none is requested. */
    private long wakeAt = Long.MAX_VALUE;

    public ForwardedPartReceiver(Limits limits) {
        this.limits = limits;
        channels = new InboundChannelTable(limits.maxChannels());
        endedParts = new EndedPartCache(limits.maxEnded(), limits.maxEndedBytes());
        concurrencyLimit = new ConcurrencyLimit(limits.maxRunning(), limits.adjustIntervalUs());
    }

    // ---- Inputs. ----

    /** Sets the current time; called before all other inputs of a turn. */
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
    }

    /**
     * A forwarding router has authenticated on one of its channels. The channel's previous connection is
     * closed, since it may still deliver parts that are reported to the forwarding router as never started.
     *
     * @param router the names of the site and the router
     * @param connectCount how often the channel has connected, this time included
     * @param nextNumber the number of the next part; no part with it or a higher one has been sent yet
     * @param session the object that identifies the connection to the handler
     * @return the channel, or null if the table is full of connected channels
     */
    public InboundChannel onConnected(
            String router,
            int channelIndex,
            long incarnation,
            long connectCount,
            long nextNumber,
            Object session) {
        // The router has restarted and no longer waits for parts of its earlier incarnations.
        channels.ofOtherIncarnations(router, incarnation).forEach(this::removeChannel);
        InboundChannel.Key key = new InboundChannel.Key(router, incarnation, channelIndex);
        InboundChannel channel = channels.find(key);
        if (channel == null) {
            if (channels.isFull() && !evictOldestDisconnected()) {
                return null;
            }
            channel = new InboundChannel(key, nextNumber);
            channels.add(channel);
        }
        if (channel.isConnected() && channel.session() != session) {
            closeSession(channel);
        }
        channel.onConnected(session, connectCount, nextNumber);
        return channel;
    }

    /** The connection has ended; the channel and its parts are kept for {@code retentionUs}. */
    public void onDisconnected(InboundChannel channel, Object session) {
        channel.onSessionClosed(session, now);
        channels.all().forEach(each -> each.stopReportingOn(session));
    }

    /**
     * A part has arrived. The same frame can arrive twice or late, on this connection or on another, so a
     * part whose number was seen before or is below the lowest accepted number never runs.
     *
     * @param inTime whether the part may still have its effect; false if the network delayed it too long
     */
    public void onForwardPart(InboundChannel channel, ReceivedPart part, boolean inTime) {
        if (channel.mustNotStart(part.number)) {
            report(channel, part.number);
            return;
        }
        channel.add(part);
        boolean atLimit = running >= limits.maxRunning();
        if (draining || !inTime || atLimit || channel.running() >= windowOfEachChannel()) {
            if (atLimit) {
                concurrencyLimit.onRejected();
            }
            recordEnd(part, draining ? PartStatus.NOT_STARTED : PartStatus.REJECTED, 0);
            return;
        }
        running++;
        channel.partStarted();
        pendingDecisions.add(new ReceiverDecision.Start(part));
    }

    /**
     * A started part has ended; its status is reported once and remembered.
     *
     * @param bytes the size of the part's value
     */
    public void onPartEnded(ReceivedPart part, PartStatus status, int bytes) {
        if (part.status != PartStatus.RUNNING) {
            return; // The part was cancelled, or forgotten with its channel.
        }
        releaseSlot(part);
        if (status == PartStatus.REJECTED) {
            concurrencyLimit.onRejected();
        }
        recordEnd(part, status, bytes);
    }

    /** The forwarding router no longer needs the part. */
    public void onCancelPart(InboundChannel channel, long number) {
        ReceivedPart part = channel.find(number);
        if (part != null) {
            forgetPart(part);
        }
    }

    /** The forwarding router no longer needs any part of the channel below the number. */
    public void forgetBelow(InboundChannel channel, long number) {
        channel.partsBelow(number).forEach(this::forgetPart);
    }

    /**
     * A forwarding router queries one of its channels and names all parts that it still needs; the channel's
     * other parts are cancelled. A query is ignored if the queried channel has connected again since, because
     * a query that was delayed on a slow connection doesn't name the parts sent on the new connection.
     *
     * @param asking the channel of the session on which the query arrived
     * @param channelIndex the index of the queried channel
     * @param connectCount how often the queried channel had connected when the query was sent
     * @param nextNumber the number of the queried channel's next part when the query was sent
     * @param numbers the numbers of the parts that the router still needs
     */
    public void onStatusQuery(
            InboundChannel asking,
            Object session,
            int channelIndex,
            long connectCount,
            long nextNumber,
            Set<Long> numbers) {
        InboundChannel.Key key = new InboundChannel.Key(
                asking.key().router(), asking.key().incarnation(), channelIndex);
        InboundChannel channel = channels.find(key);
        if (channel == null) {
            for (long number : numbers) {
                pendingDecisions.add(
                        new ReceiverDecision.ReportUnknownChannel(session, channelIndex, number));
            }
            return;
        }
        if (connectCount < channel.connectCount()) {
            return; // The channel has connected again and sent a newer query itself.
        }
        if (channel != asking && channel.isConnected()) {
            // A half-open connection of the queried channel could still deliver a part that is now
            // reported as never started.
            pendingDecisions.add(new ReceiverDecision.Close(channel.session()));
        }
        channel.reportStatusOn(session);
        channel.rejectBelow(nextNumber);
        for (ReceivedPart part : channel.parts()) {
            if (part.number < nextNumber && !numbers.contains(part.number)) {
                forgetPart(part);
            }
        }
        for (long number : numbers) {
            report(channel, number);
        }
    }

    /** This router stops or is drained for maintenance: no new part starts, and running parts continue. */
    public void startDraining() {
        draining = true;
    }

    /** A drain for maintenance has ended: parts start again. */
    public void resume() {
        draining = false;
    }

    /** How many parts of other sites are running on this router. */
    public int running() {
        return running;
    }

    /**
     * Whether no part is running, and no connected router may still need the answer to one: an answer that
     * waits for the link would be lost if this process ended.
     */
    public boolean isIdle() {
        return running == 0
                && channels.all().stream().noneMatch(InboundChannel::awaitsAcknowledgement);
    }

    /** The highest number of a part of the channel that was started or rejected. */
    public long lastStarted(InboundChannel channel) {
        return channel.lastStarted();
    }

    // ---- State. ----

    private boolean evictOldestDisconnected() {
        InboundChannel oldest = channels.oldestDisconnected();
        if (oldest != null) {
            removeChannel(oldest);
        }
        return oldest != null;
    }

    private void removeChannel(InboundChannel channel) {
        channel.parts().forEach(this::forgetPart);
        if (channel.isConnected()) {
            closeSession(channel);
        }
        channels.remove(channel);
    }

    private void closeSession(InboundChannel channel) {
        pendingDecisions.add(new ReceiverDecision.Close(channel.session()));
    }

    private void recordEnd(ReceivedPart part, PartStatus status, int bytes) {
        part.status = status;
        if (!part.channel().remembers(part)) {
            return; // The part was cancelled or its channel removed, so no query will follow.
        }
        part.endedBytes = bytes;
        endedParts.add(part);
        report(part.channel(), part.number);
        for (ReceivedPart oldest = endedParts.overflow();
                oldest != null;
                oldest = endedParts.overflow()) {
            oldest.channel().forgottenUpTo(oldest.number);
            forgetPart(oldest);
        }
    }

    private void report(InboundChannel channel, long number) {
        pendingDecisions.add(new ReceiverDecision.Report(
                channel, number, channel.statusOf(number), channel.find(number)));
    }

    /** Forgets the part, and cancels it if it is still running. */
    private void forgetPart(ReceivedPart part) {
        part.channel().forget(part);
        endedParts.remove(part);
        if (part.status == PartStatus.RUNNING) {
            releaseSlot(part);
            part.status = PartStatus.MAY_HAVE_RUN;
            pendingDecisions.add(new ReceiverDecision.Cancel(part));
        }
    }

    private void releaseSlot(ReceivedPart part) {
        running--;
        part.channel().partStopped();
    }

    private int windowOfEachChannel() {
        return concurrencyLimit.windowOfEach(channels.connectedCount());
    }

    // ---- Decisions. ----

    /** Carries out one decision. @return false if there is none */
    public boolean decide(ExecutionHandler handler) {
        ReceiverDecision decision = pendingDecisions.poll();
        if (decision != null) {
            decision.carryOut(handler);
            return true;
        }
        concurrencyLimit.adjust(now);
        return announceWindow(handler) || removeExpiredChannel() || askForWakeUp(handler);
    }

    private boolean announceWindow(ExecutionHandler handler) {
        int window = windowOfEachChannel();
        for (InboundChannel channel : channels.all()) {
            if (channel.isConnected() && channel.announcedWindow() != window) {
                channel.announcedWindow(window);
                handler.sendCreditWindow(channel.session(), window);
                return true;
            }
        }
        return false;
    }

    private long expiresAt(InboundChannel channel) {
        return channel.disconnectedAt() + limits.retentionUs();
    }

    private boolean removeExpiredChannel() {
        for (InboundChannel channel : List.copyOf(channels.all())) {
            if (!channel.isConnected() && now >= expiresAt(channel)) {
                removeChannel(channel);
                return true;
            }
        }
        return false;
    }

    private boolean askForWakeUp(ExecutionHandler handler) {
        long dueAt = concurrencyLimit.growsAt();
        for (InboundChannel channel : channels.all()) {
            dueAt = channel.isConnected() ? dueAt : Math.min(dueAt, expiresAt(channel));
        }
        if (dueAt >= wakeAt) {
            return false;
        }
        wakeAt = dueAt;
        handler.wakeAt(dueAt);
        return true;
    }
}
