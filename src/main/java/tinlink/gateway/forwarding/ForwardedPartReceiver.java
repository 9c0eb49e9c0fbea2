package tinlink.gateway.forwarding;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the far side decides about parts that other sites forward: what begins, what has been here
 * already, what is told of it, how much each near router may have here, what is forgotten and when.
 * A number that has been seen never runs a second time. Inputs only update what is known;
 * {@link #decide} is pulled until it says false. No I/O. Times are microseconds.
 */
public final class ForwardedPartReceiver {
    /** What decisions are carried out with. */
    public interface ExecutionHandler {
        void startPart(ReceivedPart part);

        /** Its near router has no more use for it. */
        void cancelPart(ReceivedPart part);

        /** Says on a session what became of a part; the value is with the part. */
        void sendPartStatus(
                Object session,
                int channelIndex,
                long number,
                PartStatus status,
                ReceivedPart part);

        void sendCreditWindow(Object session, int parts);

        void closeSession(Object session);

        void wakeAt(long at);
    }

    /**
     * How much of other sites' work is taken and remembered.
     *
     * @param maxRunning parts of other sites that may run here at a time
     * @param maxEnded ended ones that are remembered, and of how many bytes together
     * @param retentionUs how long an origin without a connection is remembered: no client waits for
     *     longer
     * @param adjustIntervalUs the window follows refusals no faster
     */
    public record Limits(
            int maxRunning,
            int maxEnded,
            long maxEndedBytes,
            int maxChannels,
            long retentionUs,
            long adjustIntervalUs) {}

    private final Limits limits;
    /**
     * By router, incarnation and line; bounded, each leaves some time after its last connection.
     */
    private final Map<String, InboundChannel> channels = new LinkedHashMap<>();
    /** Ended parts in the order in which they ended; bounded by number and bytes. */
    private final LinkedHashSet<ReceivedPart> endedParts = new LinkedHashSet<>();

    private long endedBytes;
    private int running;
    /** What all near routers together may have here; shrinks as the module refuses, grows back. */
    private double concurrencyLimit;

    private boolean rejectedSinceAdjust;
    private long adjustAt;
    private boolean draining;
    private final Map<Object, Integer> announcedWindows = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private ExecutionHandler handler;
    private long now;
    private long nextWakeAt = Long.MAX_VALUE;

    public ForwardedPartReceiver(Limits limits) {
        this.limits = limits;
        concurrencyLimit = limits.maxRunning();
    }

    // ---- Inputs. ----

    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now >= nextWakeAt) {
            nextWakeAt = Long.MAX_VALUE;
        }
    }

    /**
     * A near router has proved who it is. Danger: its connection before may still bring parts that
     * it has been told, or will be told, were never begun.
     *
     * @param connectCount how often the line has come up, this time included
     * @param nextNumber it has sent no part of that number or a higher one on this line yet
     * @return null where the table is full of routers that are connected
     */
    public InboundChannel onConnected(
            String router,
            int channelIndex,
            long incarnation,
            long connectCount,
            long nextNumber,
            Object session) {
        for (InboundChannel inbound : List.copyOf(channels.values())) {
            if (inbound.router.equals(router) && inbound.incarnation != incarnation) {
                removeChannel(inbound); // It has started anew: nobody waits for these any more.
            }
        }
        String key = InboundChannel.key(router, channelIndex, incarnation);
        InboundChannel inbound = channels.get(key);
        if (inbound == null) {
            if (channels.size() >= limits.maxChannels() && !evictOldestDisconnected()) {
                return null;
            }
            inbound = new InboundChannel(router, channelIndex, incarnation, nextNumber);
            channels.put(key, inbound);
        }
        if (inbound.session != null && inbound.session != session) {
            Object previousSession = inbound.session;
            announcedWindows.remove(previousSession);
            pendingActions.add(() -> handler.closeSession(previousSession));
        }
        inbound.session = session;
        inbound.connectCount = connectCount;
        inbound.statusSession = session;
        inbound.minAcceptedNumber = Math.max(inbound.minAcceptedNumber, nextNumber);
        return inbound;
    }

    private boolean evictOldestDisconnected() {
        InboundChannel oldest = null;
        for (InboundChannel inbound : channels.values()) {
            if (inbound.session == null
                    && (oldest == null || inbound.disconnectedAt < oldest.disconnectedAt)) {
                oldest = inbound;
            }
        }
        if (oldest != null) {
            removeChannel(oldest);
        }
        return oldest != null;
    }

    private void removeChannel(InboundChannel inbound) {
        for (ReceivedPart part : List.copyOf(inbound.parts.values())) {
            forgetPart(part);
        }
        if (inbound.session != null) {
            Object previousSession = inbound.session;
            announcedWindows.remove(previousSession);
            pendingActions.add(() -> handler.closeSession(previousSession));
        }
        channels.remove(inbound.key(), inbound);
    }

    public void onDisconnected(InboundChannel inbound, Object session) {
        announcedWindows.remove(session);
        if (inbound.session == session) {
            inbound.session = null;
            inbound.disconnectedAt = now;
        }
        for (InboundChannel each : channels.values()) {
            each.statusSession = each.statusSession == session ? null : each.statusSession;
        }
    }

    /**
     * A part has arrived. Danger: the same frame twice or late, on this connection or another: what
     * has been seen, or lies under the fence, never runs.
     *
     * @param inTime it may have its effect now; one that was long on the way may not
     */
    public void onForwardPart(InboundChannel inbound, ReceivedPart part, boolean inTime) {
        ReceivedPart known = inbound.parts.get(part.number);
        if (known != null
                || part.number <= inbound.lastStarted
                || part.number < inbound.minAcceptedNumber) {
            queueStatus(inbound, part.number, known);
            return;
        }
        inbound.lastStarted = part.number;
        inbound.parts.put(part.number, part);
        if (draining || !inTime || running >= limits.maxRunning() || inbound.running >= window()) {
            rejectedSinceAdjust |= running >= limits.maxRunning();
            recordEnd(part, draining ? PartStatus.NEVER_BEGUN : PartStatus.REFUSED, 0);
            return;
        }
        running++;
        inbound.running++;
        pendingActions.add(() -> {
            if (part.status == PartStatus.RUNNING) {
                handler.startPart(part);
            }
        });
    }

    /** How a part has ended here; said once, and remembered. */
    public void onPartEnded(ReceivedPart part, PartStatus status, int bytes) {
        if (part.status == PartStatus.RUNNING) {
            running--;
            part.channel.running--;
            rejectedSinceAdjust |= status == PartStatus.REFUSED;
            recordEnd(part, status, bytes);
        }
    }

    private void recordEnd(ReceivedPart part, PartStatus status, int bytes) {
        part.status = status;
        if (part.channel.parts.get(part.number) != part) {
            return; // Given up, or its origin is gone: nobody asks any more.
        }
        part.endedAt = now;
        part.bytes = bytes;
        endedParts.add(part);
        endedBytes += bytes;
        queueStatus(part.channel, part.number, part);
        while (endedParts.size() > limits.maxEnded() || endedBytes > limits.maxEndedBytes()) {
            ReceivedPart oldest = endedParts.iterator().next();
            oldest.channel.forgottenBelow =
                    Math.max(oldest.channel.forgottenBelow, oldest.number + 1);
            forgetPart(oldest);
        }
    }

    private void queueStatus(InboundChannel inbound, long number, ReceivedPart known) {
        PartStatus status = known != null
                ? known.status
                : number < inbound.forgottenBelow
                        ? PartStatus.MAY_HAVE_RUN
                        : PartStatus.NEVER_BEGUN;
        pendingActions.add(() -> {
            if (inbound.statusSession != null) {
                handler.sendPartStatus(inbound.statusSession, inbound.index, number, status, known);
            }
        });
    }

    /** Out of the table; a part that still runs is given up. */
    private void forgetPart(ReceivedPart part) {
        part.channel.parts.remove(part.number, part);
        if (endedParts.remove(part)) {
            endedBytes -= part.bytes;
        }
        if (part.status == PartStatus.RUNNING) {
            running--;
            part.channel.running--;
            part.status = PartStatus.MAY_HAVE_RUN;
            pendingActions.add(() -> handler.cancelPart(part));
        }
    }

    public void onCancelPart(InboundChannel inbound, long number) {
        ReceivedPart part = inbound.parts.get(number);
        if (part != null) {
            forgetPart(part);
        }
    }

    /** Of what lies under that number nothing is of interest any more. */
    public void forgetBelow(InboundChannel inbound, long number) {
        List.copyOf(inbound.parts
                        .headMap(Math.min(number, inbound.lastStarted + 1), false)
                        .values())
                .forEach(this::forgetPart);
    }

    /**
     * Asked on a session about a line of the same router: all that it still has use for. The rest
     * is given up. Danger: a question that comes late over a slow line, after the line that it is
     * about is up again: it knows nothing of what has been sent there since.
     *
     * @param asker the origin of the session
     * @param connectCount how often that line had come up when this was asked
     */
    public void onStatusQuery(
            InboundChannel asker,
            Object session,
            int channelIndex,
            long connectCount,
            long minAcceptedNumber,
            Set<Long> numbers) {
        InboundChannel inbound =
                channels.get(InboundChannel.key(asker.router, channelIndex, asker.incarnation));
        if (inbound == null) {
            for (long number : numbers) {
                pendingActions.add(() -> handler.sendPartStatus(
                        session, channelIndex, number, PartStatus.MAY_HAVE_RUN, null));
            }
            return;
        }
        if (connectCount < inbound.connectCount) {
            return; // Asked again since, on that line itself.
        }
        if (inbound != asker && inbound.session != null) {
            // Danger: a half-open connection of that line could still bring what is now said to be
            // never
            // begun.
            Object previousSession = inbound.session;
            pendingActions.add(() -> handler.closeSession(previousSession));
        }
        inbound.statusSession = session;
        inbound.minAcceptedNumber = Math.max(inbound.minAcceptedNumber, minAcceptedNumber);
        for (ReceivedPart part : List.copyOf(inbound.parts.values())) {
            if (part.number < minAcceptedNumber && !numbers.contains(part.number)) {
                forgetPart(part);
            }
        }
        for (long number : numbers) {
            queueStatus(inbound, number, inbound.parts.get(number));
        }
    }

    /** The router stops: nothing begins any more. */
    public void startDraining() {
        draining = true;
    }

    public int running() {
        return running;
    }

    /** The highest number that has been begun, or refused, on the line. */
    public long lastStarted(InboundChannel inbound) {
        return inbound.lastStarted;
    }

    // ---- Decisions. ----

    private int window() {
        int connected = 0;
        for (InboundChannel each : channels.values()) {
            connected += each.session != null ? 1 : 0;
        }
        return Math.max(1, (int) (concurrencyLimit / Math.max(1, connected)));
    }

    public boolean decide(ExecutionHandler decisionHandler) {
        handler = decisionHandler;
        if (!pendingActions.isEmpty()) {
            pendingActions.poll().run();
            return true;
        }
        if (now >= adjustAt) {
            adjustAt = now + limits.adjustIntervalUs();
            // Additive growth, a quarter less on refusals: the near sides hold back what would be
            // refused
            // here.
            concurrencyLimit = rejectedSinceAdjust
                    ? Math.max(1, 0.75 * concurrencyLimit)
                    : Math.min(
                            limits.maxRunning(),
                            concurrencyLimit + Math.max(1, limits.maxRunning() / 32.0));
            rejectedSinceAdjust = false;
        }
        for (InboundChannel inbound : channels.values()) {
            int window = window();
            if (inbound.session != null
                    && announcedWindows.getOrDefault(inbound.session, 0) != window) {
                announcedWindows.put(inbound.session, window);
                decisionHandler.sendCreditWindow(inbound.session, window);
                return true;
            }
        }
        for (InboundChannel inbound : channels.values()) {
            if (inbound.session == null && now >= inbound.disconnectedAt + limits.retentionUs()) {
                removeChannel(inbound);
                return true;
            }
        }
        long nextDueAt = concurrencyLimit < limits.maxRunning() ? adjustAt : Long.MAX_VALUE;
        for (InboundChannel inbound : channels.values()) {
            nextDueAt = inbound.session == null
                    ? Math.min(nextDueAt, inbound.disconnectedAt + limits.retentionUs())
                    : nextDueAt;
        }
        if (nextDueAt < nextWakeAt) {
            nextWakeAt = nextDueAt;
            decisionHandler.wakeAt(nextDueAt);
            return true;
        }
        return false;
    }
}
