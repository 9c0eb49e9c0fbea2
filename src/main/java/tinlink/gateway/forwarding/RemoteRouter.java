package tinlink.gateway.forwarding;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Makes the decisions of the forwarding router about one router of another site: whether the remote router
 * may be used and for which cells, on which channel and when a part is sent, which parts are queried after a
 * cut, and when a channel connects again.
 *
 * <p>Inputs only update the state; the owner calls {@link #decide} until it returns false. No I/O, no clock,
 * no randomness of its own; times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class RemoteRouter {
    /**
     * The limits of the forwarding router.
     *
     * @param heartbeatUs the interval between two heartbeats
     * @param maxQueued how many parts may wait for a credit at a time
     * @param recoveryUs how long to wait for the status of a part after a cut
     */
    public record Settings(long heartbeatUs, int maxQueued, long recoveryUs) {}

    /** Knows the other remote routers. */
    public interface AlternativeRoutes {
        /** Whether a remote router other than the given one can serve the cell. */
        boolean hasAlternative(int cell, RemoteRouter other);
    }

    public final String name;
    /** The channels to this router, by index. */
    public final List<GatewayChannel> channels;

    private final AlternativeRoutes alternatives;
    private final SplittableRandom random;
    private final ForwardedPartTable partTable;
    /** The cells that the remote router has last announced. */
    private BitSet servedCells = new BitSet();

    private final ReachableCells announced = new ReachableCells();
    private long incarnation;
    /** How many parts may be in flight to the remote router; 0 until it has announced a window. */
    private int creditWindow;

    private boolean draining;
    private long now;
    /** The time of the requested wake-up; {@link Long#MAX_VALUE} if none is requested. */
    private long wakeAt = Long.MAX_VALUE;

    /**
     * Creates the state of a remote router to which no channel has connected yet.
     *
     * @param random the source of the reconnect jitter, used by this object only
     */
    public RemoteRouter(
            String name,
            int channelCount,
            Settings settings,
            AlternativeRoutes alternatives,
            SplittableRandom random) {
        this.name = name;
        this.alternatives = alternatives;
        this.random = random;
        List<GatewayChannel> all = new ArrayList<>();
        for (int index = 0; index < channelCount; index++) {
            all.add(new GatewayChannel(this, index, settings.heartbeatUs()));
        }
        channels = Collections.unmodifiableList(all);
        partTable = new ForwardedPartTable(channels, settings);
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
     * A channel has connected, and the remote router has authenticated. A new incarnation means that the
     * remote router has restarted and knows nothing of the parts that the previous incarnation ran.
     */
    public void onConnected(GatewayChannel channel, long remoteIncarnation, long roundTripUs) {
        if (remoteIncarnation != incarnation) {
            incarnation = remoteIncarnation;
            onRouterRestarted(channel);
        }
        channel.onConnected(now, roundTripUs);
    }

    private void onRouterRestarted(GatewayChannel connected) {
        servedCells = new BitSet();
        creditWindow = 0;
        draining = false;
        for (GatewayChannel channel : channels) {
            for (ForwardedPart part : List.copyOf(channel.openParts.values())) {
                part.routerRestarted = true;
                partTable.end(part, PartStatus.MAY_HAVE_RUN);
            }
            channel.stale = channel != connected;
        }
    }

    /**
     * A channel has lost its connection or failed to connect.
     *
     * @param mayHaveLeft whether the part's last byte was handed to the kernel, or may have been
     */
    public void onDisconnected(GatewayChannel lost, Predicate<ForwardedPart> mayHaveLeft) {
        lost.onDisconnected(now, random);
        for (GatewayChannel channel : channels) {
            if (channel.statusChannel == lost) {
                channel.statusChannel = null;
                resolveAfterCut(channel, part -> channel != lost || mayHaveLeft.test(part));
            }
        }
    }

    /** Resolves the channel's open parts, whose status the remote router now reports only if queried. */
    private void resolveAfterCut(GatewayChannel channel, Predicate<ForwardedPart> mayHaveLeft) {
        for (ForwardedPart part : List.copyOf(channel.openParts.values())) {
            // A part that was unresolved before has been sent: mayHaveLeft refers to the latest
            // connection and can't be applied to a part of an earlier one.
            if (!part.wasUnresolved() && !mayHaveLeft.test(part)) {
                partTable.end(part, PartStatus.NOT_SENT);
            } else if (part.idempotent && alternatives.hasAlternative(part.cell, this)) {
                // The part may safely run twice, and another router can start it now.
                partTable.end(part, PartStatus.MAY_HAVE_RUN);
            } else {
                partTable.markUnresolved(part, now);
                channel.statusQueryDue = true;
            }
        }
    }

    /** The remote router has answered a heartbeat. */
    public void onHeartbeatAck(GatewayChannel channel, long number) {
        channel.onHeartbeatAck(number, now);
    }

    /** The remote router has announced the cells that it reaches at its site. */
    public void onServedCells(BitSet cells) {
        servedCells = cells;
    }

    /** The remote router has announced how many parts may be in flight to it. */
    public void onCreditWindow(int credits) {
        creditWindow = credits;
    }

    /**
     * The remote router is stopping: no part sent on the channel after {@code lastStarted} was started or
     * will be. The router is used again after it has connected with a new incarnation.
     */
    public void onGoAway(GatewayChannel channel, long lastStarted) {
        draining = true;
        for (ForwardedPart part :
                List.copyOf(channel.openParts.tailMap(lastStarted, false).values())) {
            partTable.end(part, PartStatus.NOT_STARTED);
        }
    }

    /** Queues a part for this router, or ends the part if its cell can't be reached. */
    public void forward(ForwardedPart part) {
        if (canServe(part.cell)) {
            partTable.enqueue(part, now);
        } else {
            partTable.finish(part, PartStatus.NOT_SENT);
        }
    }

    /** Cancels a part whose outcome is known already, on the remote router too. */
    public void cancel(ForwardedPart part) {
        partTable.cancel(part);
    }

    /** The remote router has reported the status of a part, unasked or in answer to a query. */
    public void onPartStatus(GatewayChannel channel, long number, PartStatus status) {
        ForwardedPart part = channel.openParts.get(number);
        if (part == null) {
            return;
        }
        if (status == PartStatus.RUNNING) {
            part.state = ForwardedPart.State.IN_FLIGHT;
        } else {
            partTable.end(part, status);
        }
    }

    // ---- State. ----

    /** The open part with the given number; null if there is none. */
    public ForwardedPart findOpenPart(GatewayChannel channel, long number) {
        return channel.openParts.get(number);
    }

    /** The number of parts that are queued, in flight or unresolved. */
    public int openPartCount() {
        return partTable.openCount();
    }

    /** How many parts may be in flight to the remote router; 0 until it has announced a window. */
    public int creditWindow() {
        return creditWindow;
    }

    /** Whether a part for the cell may be forwarded to this router now. */
    public boolean canServe(int cell) {
        return servedCells.get(cell) && bestTrustedChannel() != null;
    }

    /** The share of the part's remaining time that is left after reserving the round trip. */
    public long remainingUs(ForwardedPart part, GatewayChannel channel) {
        return part.deadline - now - channel.reservedUs();
    }

    /** The trusted channel with the shortest expected wait; null if there is none or the router drains. */
    private GatewayChannel bestTrustedChannel() {
        if (draining) {
            return null;
        }
        GatewayChannel best = null;
        double leastWaitUs = Double.MAX_VALUE;
        for (GatewayChannel channel : channels) {
            if (channel.isTrusted(now) && channel.expectedWaitUs() < leastWaitUs) {
                best = channel;
                leastWaitUs = channel.expectedWaitUs();
            }
        }
        return best;
    }

    /** The channel on which to query: {@code about} if it is up, else the best one up; null if none is. */
    private GatewayChannel channelForQuery(GatewayChannel about) {
        if (about.isUp()) {
            return about;
        }
        GatewayChannel best = bestTrustedChannel();
        return best != null
                ? best
                : channels.stream().filter(GatewayChannel::isUp).findFirst().orElse(null);
    }

    // ---- Decisions. ----

    /** Carries out one decision. @return false if there is none */
    public boolean decide(ForwardingHandler handler) {
        if (partTable.reportNext(handler)) {
            return true;
        }
        for (GatewayChannel channel : channels) {
            if (maintain(channel, handler)) {
                return true;
            }
        }
        return partTable.expire(now, part -> canServe(part.cell))
                || sendNextPart(handler)
                || announceCells(handler)
                || askForWakeUp(handler);
    }

    private boolean maintain(GatewayChannel channel, ForwardingHandler handler) {
        if (channel.isConnectDue(now)) {
            channel.state = GatewayChannel.State.CONNECTING;
            handler.connect(channel);
            return true;
        }
        if (channel.isDisconnectDue(now)) {
            handler.disconnect(channel);
            return true;
        }
        if (channel.statusQueryDue && queryStatus(channel, handler)) {
            return true;
        }
        if (channel.isHeartbeatDue(now)) {
            long number = channel.onHeartbeatSent(now);
            handler.sendHeartbeat(channel, number, channel.lowestOpenNumber());
            return true;
        }
        return false;
    }

    private boolean queryStatus(GatewayChannel about, ForwardingHandler handler) {
        GatewayChannel via = channelForQuery(about);
        if (via == null) {
            return false;
        }
        about.statusQueryDue = false;
        about.statusChannel = via;
        handler.sendStatusQuery(via, about);
        return true;
    }

    private boolean sendNextPart(ForwardingHandler handler) {
        if (!partTable.hasQueued() || partTable.inFlight() >= creditWindow) {
            return false;
        }
        GatewayChannel channel = bestTrustedChannel();
        if (channel == null) {
            return false;
        }
        ForwardedPart part = partTable.pollQueued();
        if (remainingUs(part, channel) <= 0) {
            partTable.finish(part, PartStatus.NOT_SENT);
            return true;
        }
        partTable.assign(part, channel);
        handler.sendPart(part);
        return true;
    }

    private boolean announceCells(ForwardingHandler handler) {
        GatewayChannel channel = bestTrustedChannel();
        BitSet reachable = channel == null ? new BitSet() : servedCells;
        long roundTripUs =
                channel == null ? announced.roundTripUs() : Math.max(1, channel.reservedUs());
        if (!announced.update(reachable, roundTripUs)) {
            return false;
        }
        partTable.recheckDeadlines(); // Queued parts may have become unreachable.
        handler.cellsChanged(this, announced.cells(), announced.roundTripUs());
        return true;
    }

    private boolean askForWakeUp(ForwardingHandler handler) {
        long dueAt = partTable.nextDueAt();
        for (GatewayChannel channel : channels) {
            dueAt = Math.min(dueAt, channel.nextDueAt(now));
        }
        if (dueAt >= wakeAt) {
            return false;
        }
        wakeAt = dueAt;
        handler.wakeAt(this, dueAt);
        return true;
    }
}
