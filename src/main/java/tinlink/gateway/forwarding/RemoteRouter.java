package tinlink.gateway.forwarding;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * What the near side decides about one router of another site: whether it may be used and for which cells, on
 * which of its lines a part leaves and when, what is asked about after a cut, when a line is tried again.
 * Inputs only update what is known; {@link #decide} is pulled until it says false. No I/O, no clock, no
 * chance of its own. Times are microseconds.
 */
public final class RemoteRouter {
    /** What decisions are carried out with. */
    public interface ForwardingHandler {
        void connect(GatewayChannel channel);

        /** Ends the line's connection; {@link RemoteRouter#onDisconnected} follows. */
        void disconnect(GatewayChannel channel);

        /**
         * Sends a heartbeat.
         *
         * @param lowestOpenNumber parts under this number are of no interest any more
         */
        void sendHeartbeat(GatewayChannel channel, long number, long lowestOpenNumber);

        void sendPart(ForwardedPart part);

        void sendCancel(ForwardedPart part);

        /** Asks on one line about all that is still of interest of another, or of its own. */
        void sendStatusQuery(GatewayChannel via, GatewayChannel about);

        /** The end of a part; the value and times, if any, came with the input that it follows from. */
        void partEnded(ForwardedPart part, PartStatus status);

        /** Which cells may be reached now, and what the line takes there and back. */
        void cellsChanged(RemoteRouter router, BitSet cells, long roundTripUs);

        void wakeAt(RemoteRouter router, long at);
    }

    /**
     * How long and for how many parts the near side waits.
     *
     * @param heartbeatUs between two heartbeats
     * @param maxQueued parts that may wait for a credit at a time
     * @param recoveryUs how long after a cut a part is held for its fate
     */
    public record Settings(long heartbeatUs, int maxQueued, long recoveryUs) {}

    /** Whether some other router serves the cell too. */
    public interface AlternativeRoutes {
        boolean hasAlternative(int cell, RemoteRouter other);
    }

    public final String name;
    private final AlternativeRoutes alternatives;
    private final SplittableRandom random;
    public final List<GatewayChannel> channels = new ArrayList<>();
    private final ForwardedPartTable partTable;
    /** Cells that it has said it serves. */
    private BitSet servedCells = new BitSet();

    private long incarnation;
    /** Parts that it takes from us at a time; 0 until it says so. */
    private int creditWindow;

    private boolean draining;
    private BitSet announcedCells = new BitSet();
    private long announcedRoundTripUs;
    private long now;
    private long nextWakeAt = Long.MAX_VALUE;

    public RemoteRouter(
            String name,
            int channelCount,
            Settings settings,
            AlternativeRoutes alternatives,
            SplittableRandom random) {
        this.name = name;
        this.alternatives = alternatives;
        this.random = random;
        for (int i = 0; i < channelCount; i++) {
            this.channels.add(new GatewayChannel(this, i, settings.heartbeatUs()));
        }
        partTable = new ForwardedPartTable(this.channels, settings);
    }

    // ---- Inputs. ----

    public void advanceClock(long nowUs) {
        now = nowUs;
        if (now >= nextWakeAt) {
            nextWakeAt = Long.MAX_VALUE;
        }
    }

    /**
     * A line is up and its far end has proved who it is. Danger: a router with another incarnation has
     * started anew; it knows nothing of what the one before it ran.
     */
    public void onConnected(GatewayChannel channel, long incarnation, long roundTripUs) {
        if (incarnation != this.incarnation) {
            this.incarnation = incarnation;
            onRouterRestarted(channel);
        }
        channel.onConnected(now, roundTripUs);
    }

    private void onRouterRestarted(GatewayChannel channel) {
        servedCells = new BitSet();
        creditWindow = 0;
        draining = false;
        for (GatewayChannel each : channels) {
            for (ForwardedPart part : List.copyOf(each.openParts.values())) {
                part.routerRestarted = true;
                partTable.end(part, PartStatus.MAY_HAVE_RUN);
            }
            each.stale = each != channel;
        }
    }

    /** @param mayHaveLeft whether the part's last byte had been handed to the kernel, or may have been */
    public void onDisconnected(GatewayChannel channel, Predicate<ForwardedPart> mayHaveLeft) {
        channel.onDisconnected(now, random);
        for (GatewayChannel each : channels) {
            if (each.statusChannel == channel) {
                each.statusChannel = null;
                resolveAfterCut(each, part -> each != channel || mayHaveLeft.test(part));
            }
        }
    }

    /** Nobody will say on its own any more what becomes of what is out on that line. */
    private void resolveAfterCut(GatewayChannel channel, Predicate<ForwardedPart> mayHaveLeft) {
        for (ForwardedPart part : List.copyOf(channel.openParts.values())) {
            // Danger: what outlived one cut has left; its place in the stream was that of another
            // connection.
            if (!part.wasUnresolved() && !mayHaveLeft.test(part)) {
                partTable.end(part, PartStatus.NEVER_LEFT);
            } else if (part.idempotent && alternatives.hasAlternative(part.cell, this)) {
                // A second run does no harm and another router can begin now.
                partTable.end(part, PartStatus.MAY_HAVE_RUN);
            } else {
                partTable.markUnresolved(part, now);
                channel.statusQueryDue = true;
            }
        }
    }

    public void onHeartbeatAck(GatewayChannel channel, long number) {
        channel.onHeartbeatAck(number, now);
    }

    public void onServedCells(BitSet cells) {
        this.servedCells = cells;
    }

    public void creditWindow(int credits) {
        creditWindow = credits;
    }

    /**
     * It stops: of what left on that line, nothing past the last one that it names was begun or will be. It
     * is trusted again as a new incarnation.
     */
    public void onGoAway(GatewayChannel channel, long lastStarted) {
        draining = true;
        for (ForwardedPart part :
                List.copyOf(channel.openParts.tailMap(lastStarted, false).values())) {
            partTable.end(part, PartStatus.NEVER_BEGUN);
        }
    }

    /** A part that the module has sent here. */
    public void forward(ForwardedPart part) {
        if (canServe(part.cell)) {
            partTable.enqueue(part, now);
        } else {
            partTable.finish(part, PartStatus.NEVER_LEFT);
        }
    }

    /** The module has given a part up; its outcome is known, its run over there should end too. */
    public void cancel(ForwardedPart part) {
        partTable.cancel(part);
    }

    /** What the far router says of a part, on its own or asked. */
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

    /** Whom an answer of that number is for; null where it is of no interest any more. */
    public ForwardedPart findOpenPart(GatewayChannel channel, long number) {
        return channel.openParts.get(number);
    }

    /** Parts that wait, and that are out or unsure. */
    public int openPartCount() {
        return partTable.openCount();
    }

    public int creditWindow() {
        return creditWindow;
    }

    // ---- Decisions. ----

    public boolean canServe(int cell) {
        return servedCells.get(cell) && bestTrustedChannel() != null;
    }

    /** The line for the next part: the trusted one that would have its answer first. */
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

    /** A line that is up, the trusted one if there is one: to ask about another. */
    private GatewayChannel channelForQuery(GatewayChannel about) {
        if (about.isUp()) {
            return about;
        }
        GatewayChannel best = bestTrustedChannel();
        return best != null
                ? best
                : channels.stream().filter(GatewayChannel::isUp).findFirst().orElse(null);
    }

    public boolean decide(ForwardingHandler handler) {
        if (partTable.reportNext(handler)) {
            return true;
        }
        for (GatewayChannel channel : channels) {
            if (maintainChannel(channel, handler)) {
                return true;
            }
        }
        if (partTable.expire(now, part -> canServe(part.cell))
                || sendNextPart(handler)
                || announceCells(handler)) {
            return true;
        }
        long dueAt = nextDueAt();
        if (dueAt < nextWakeAt) {
            nextWakeAt = dueAt;
            handler.wakeAt(this, dueAt);
            return true;
        }
        return false;
    }

    private boolean maintainChannel(GatewayChannel channel, ForwardingHandler handler) {
        if (channel.isConnectDue(now)) {
            channel.state = GatewayChannel.State.CONNECTING;
            handler.connect(channel);
            return true;
        }
        if (channel.isDisconnectDue(now)) {
            handler.disconnect(channel);
            return true;
        }
        if (channel.statusQueryDue && queryStatuses(channel, handler)) {
            return true;
        }
        if (channel.isHeartbeatDue(now)) {
            long number = channel.onHeartbeatSent(now);
            handler.sendHeartbeat(channel, number, channel.lowestOpenNumber());
            return true;
        }
        return false;
    }

    private boolean queryStatuses(GatewayChannel about, ForwardingHandler handler) {
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
            partTable.finish(part, PartStatus.NEVER_LEFT);
            return true;
        }
        partTable.assign(part, channel);
        handler.sendPart(part);
        return true;
    }

    /** Of a part's time, what the far router may use: the rest is kept for the line, there and back. */
    public long remainingUs(ForwardedPart part, GatewayChannel channel) {
        return part.deadline - now - channel.reservedUs();
    }

    private boolean announceCells(ForwardingHandler handler) {
        GatewayChannel channel = bestTrustedChannel();
        BitSet reachable = channel == null ? new BitSet() : servedCells;
        // Told again when it has moved by an eighth, not at each heartbeat.
        long roundTripUs =
                channel == null ? announcedRoundTripUs : Math.max(1, channel.reservedUs());
        if (reachable.equals(announcedCells)
                && Math.abs(roundTripUs - announcedRoundTripUs) <= announcedRoundTripUs / 8) {
            return false;
        }
        announcedCells = (BitSet) reachable.clone();
        announcedRoundTripUs = roundTripUs;
        partTable.recheckDeadlines(); // What waits may have nowhere to go now.
        handler.cellsChanged(this, announcedCells, roundTripUs);
        return true;
    }

    private long nextDueAt() {
        long dueAt = partTable.nextDueAt();
        for (GatewayChannel channel : channels) {
            dueAt = Math.min(dueAt, channel.nextDueAt(now));
        }
        return dueAt;
    }
}
