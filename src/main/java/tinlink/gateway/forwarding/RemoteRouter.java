package tinlink.gateway.forwarding;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Decides about one router of another site: whether it may be used and for which cells, on which of its
 * channels a part leaves and when, what is asked about after a cut, when a channel connects again.
 *
 * <p>Inputs only update what is known; {@link #decide} is pulled until it returns false. No I/O, no clock, no
 * randomness of its own; times are microseconds. Not thread-safe: all calls come from the owner's thread.
 */
public final class RemoteRouter {
    /**
     * How long and for how many parts the forwarding side waits.
     *
     * @param heartbeatUs between two heartbeats
     * @param maxQueued parts that may wait for a credit at a time
     * @param recoveryUs how long after a cut the status of a part is waited for
     */
    public record Settings(long heartbeatUs, int maxQueued, long recoveryUs) {}

    /** The other remote routers. */
    public interface AlternativeRoutes {
        /** Whether one of them can serve the cell too. */
        boolean hasAlternative(int cell, RemoteRouter other);
    }

    public final String name;
    /** By index. */
    public final List<GatewayChannel> channels;

    private final AlternativeRoutes alternatives;
    private final SplittableRandom random;
    private final ForwardedPartTable partTable;
    /** Cells that it has said it serves. */
    private BitSet servedCells = new BitSet();

    private final ReachableCells announced = new ReachableCells();
    private long incarnation;
    /** Parts that it takes from here at a time; 0 until it says so. */
    private int creditWindow;

    private boolean draining;
    private long now;
    /** The wake-up that has been asked for; {@link Long#MAX_VALUE} where none is. */
    private long wakeAt = Long.MAX_VALUE;

    /**
     * A router that no channel has connected to yet.
     *
     * @param random for the jitter of reconnecting; drawn from by this router alone
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

    /** Time has passed; comes before all other inputs of a turn. */
    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
    }

    /**
     * A channel has connected and its far end has authenticated. Danger: a router with another incarnation
     * has started anew; it knows nothing of what the one before it ran.
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
     * A channel has lost its connection, or did not get one.
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

    /** Nobody will report unasked any more on what is in flight on that channel. */
    private void resolveAfterCut(GatewayChannel channel, Predicate<ForwardedPart> mayHaveLeft) {
        for (ForwardedPart part : List.copyOf(channel.openParts.values())) {
            // Danger: what outlived one cut has left; its place in the stream was that of another
            // connection.
            if (!part.wasUnresolved() && !mayHaveLeft.test(part)) {
                partTable.end(part, PartStatus.NOT_SENT);
            } else if (part.idempotent && alternatives.hasAlternative(part.cell, this)) {
                // A second run does no harm and another router can begin now.
                partTable.end(part, PartStatus.MAY_HAVE_RUN);
            } else {
                partTable.markUnresolved(part, now);
                channel.statusQueryDue = true;
            }
        }
    }

    /** A heartbeat was answered. */
    public void onHeartbeatAck(GatewayChannel channel, long number) {
        channel.onHeartbeatAck(number, now);
    }

    /** The router has said which cells it reaches at its site. */
    public void onServedCells(BitSet cells) {
        servedCells = cells;
    }

    /** The router has said how many parts it takes from here at a time. */
    public void onCreditWindow(int credits) {
        creditWindow = credits;
    }

    /**
     * The router stops: of what left on that channel, nothing past the last one that it names was started or
     * will be. It is trusted again as a new incarnation.
     */
    public void onGoAway(GatewayChannel channel, long lastStarted) {
        draining = true;
        for (ForwardedPart part :
                List.copyOf(channel.openParts.tailMap(lastStarted, false).values())) {
            partTable.end(part, PartStatus.NOT_STARTED);
        }
    }

    /** A part is to be forwarded to this router. */
    public void forward(ForwardedPart part) {
        if (canServe(part.cell)) {
            partTable.enqueue(part, now);
        } else {
            partTable.finish(part, PartStatus.NOT_SENT);
        }
    }

    /** The part's outcome is known already; its run over there should end too. */
    public void cancel(ForwardedPart part) {
        partTable.cancel(part);
    }

    /** What the router reports of a part, on its own or asked. */
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

    /** The open part of that number; null where it is of no interest any more. */
    public ForwardedPart findOpenPart(GatewayChannel channel, long number) {
        return channel.openParts.get(number);
    }

    /** Parts that are queued, in flight or unresolved. */
    public int openPartCount() {
        return partTable.openCount();
    }

    /** Parts that it takes from here at a time; 0 until it says so. */
    public int creditWindow() {
        return creditWindow;
    }

    /** Whether a part for that cell may be forwarded to it now. */
    public boolean canServe(int cell) {
        return servedCells.get(cell) && bestTrustedChannel() != null;
    }

    /** Of a part's time, what the remote router may use: the rest is kept for the network, there and back. */
    public long remainingUs(ForwardedPart part, GatewayChannel channel) {
        return part.deadline - now - channel.reservedUs();
    }

    /** The channel for the next part: the trusted one that would have its answer first; null for none. */
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

    /** A channel that is up, the best trusted one if there is one: to ask about another. */
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

    /** Carries out one decision. @return false where there is none */
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
        partTable.recheckDeadlines(); // What is queued may have nowhere to go now.
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
