package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;

/**
 * Decides about the parts that routers of other sites forward to this one: which start, which have been here
 * already, what is reported of them, how many each channel may have in flight, what is forgotten and when. A
 * number that has been seen never runs a second time.
 *
 * <p>Inputs only update what is known; {@link #decide} is pulled until it returns false. No I/O, no clock;
 * times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class ForwardedPartReceiver {
    /**
     * How much of other sites' work is run and remembered.
     *
     * @param maxRunning parts of other sites that may run here at a time
     * @param maxEnded ended parts that are remembered
     * @param maxEndedBytes bytes of their values together
     * @param maxChannels channels of other sites' routers that are known at a time
     * @param retentionUs how long a channel without a connection is remembered: no client waits longer
     * @param adjustIntervalUs the credit windows follow rejections no faster
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
    /** What inputs have led to; emptied by the decisions of the turn. */
    private final ArrayDeque<ReceiverDecision> pendingDecisions = new ArrayDeque<>();

    private int running;
    private boolean draining;
    private long now;
    /** The wake-up that has been asked for; {@link Long#MAX_VALUE} where none is. */
    private long wakeAt = Long.MAX_VALUE;

    public ForwardedPartReceiver(Limits limits) {
        this.limits = limits;
        channels = new InboundChannelTable(limits.maxChannels());
        endedParts = new EndedPartCache(limits.maxEnded(), limits.maxEndedBytes());
        concurrencyLimit = new ConcurrencyLimit(limits.maxRunning(), limits.adjustIntervalUs());
    }

    // ---- Inputs. ----

    /** Time has passed; comes before all other inputs of a turn. */
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
    }

    /**
     * A forwarding router has authenticated on one of its channels. Danger: the connection that the channel
     * had before may still bring parts of which the router has heard, or will hear, that they never started.
     *
     * @param router site and router
     * @param connectCount how often the channel has connected, this time included
     * @param nextNumber the router has sent no part of that number or a higher one on the channel yet
     * @param session the connection, as the handler is to know it
     * @return the channel, or null where the table is full of channels that are connected
     */
    public InboundChannel onConnected(
            String router,
            int channelIndex,
            long incarnation,
            long connectCount,
            long nextNumber,
            Object session) {
        // It has started anew: nobody waits for these any more.
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

    /** The connection has ended; the channel and its parts stay for a while. */
    public void onDisconnected(InboundChannel channel, Object session) {
        channel.onSessionClosed(session, now);
        channels.all().forEach(each -> each.stopReportingOn(session));
    }

    /**
     * A part has arrived. Danger: the same frame twice or late, on this connection or on another: a number
     * that has been seen, or lies below the lowest one that is accepted, never runs.
     *
     * @param inTime it may have its effect now; one that was long on the way may not
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
     * A part that was started has ended; reported once, and remembered.
     *
     * @param bytes of its value
     */
    public void onPartEnded(ReceivedPart part, PartStatus status, int bytes) {
        if (part.status != PartStatus.RUNNING) {
            return; // It was cancelled, or forgotten with its channel.
        }
        stopped(part);
        if (status == PartStatus.REJECTED) {
            concurrencyLimit.onRejected();
        }
        recordEnd(part, status, bytes);
    }

    /** Its router has no more use for the part. */
    public void onCancelPart(InboundChannel channel, long number) {
        ReceivedPart part = channel.find(number);
        if (part != null) {
            forgetPart(part);
        }
    }

    /** Its router has no more use for anything below that number. */
    public void forgetBelow(InboundChannel channel, long number) {
        channel.partsBelow(number).forEach(this::forgetPart);
    }

    /**
     * A router asks on a session about one of its channels, naming all parts that it still has use for. Its
     * other parts are cancelled. Danger: a query that comes late over a slow connection, after the channel
     * that it is about has connected again, knows nothing of what has been sent there since.
     *
     * @param asking the channel of the session
     * @param channelIndex the channel that is asked about
     * @param connectCount how often that one had connected when this was asked
     * @param nextNumber no part of that number or a higher one had been sent on it
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
            return; // Asked again since, on that channel itself.
        }
        if (channel != asking && channel.isConnected()) {
            // Danger: a half-open connection of that channel could still bring a part that is now
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

    /** The router stops: nothing starts any more, what runs goes on. */
    public void startDraining() {
        draining = true;
    }

    /** Parts of other sites that run here. */
    public int running() {
        return running;
    }

    /** The highest number that was started, or rejected, on the channel. */
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
            return; // Cancelled, or its channel is gone: nobody asks any more.
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

    /** A part that still runs is cancelled. */
    private void forgetPart(ReceivedPart part) {
        part.channel().forget(part);
        endedParts.remove(part);
        if (part.status == PartStatus.RUNNING) {
            stopped(part);
            part.status = PartStatus.MAY_HAVE_RUN;
            pendingDecisions.add(new ReceiverDecision.Cancel(part));
        }
    }

    private void stopped(ReceivedPart part) {
        running--;
        part.channel().partStopped();
    }

    private int windowOfEachChannel() {
        return concurrencyLimit.windowOfEach(channels.connectedCount());
    }

    // ---- Decisions. ----

    /** Carries out one decision. @return false where there is none */
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
