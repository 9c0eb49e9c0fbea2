package tinlink.gateway;

import tinlink.gateway.choice.Fate;
import tinlink.gateway.choice.Taken;
import tinlink.gateway.choice.Taker;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The far side of a gateway: takes connections from routers of other sites and carries out what {@link Taker}
 * decides about the parts that they pass on. Runs on the loop's thread.
 */
final class GatewayServer implements Taker.Hands, Network.Door {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    /** Connections that may be here without having proved themselves. */
    private static final int MAX_UNPROVED = 16;
    /** A near router that has said nothing for so many heartbeats is gone. */
    private static final int SILENT_BEATS = 12;

    final Taker taker;
    private final Gateway gateway;
    private Network.Listening listening;
    /** Connections that have not proved themselves; each leaves as it does, or ends. */
    private final Set<FarSession> unproved = new LinkedHashSet<>();
    /** Connections of near routers, with the time by which they have to speak; each leaves as it ends. */
    private final Map<FarSession, Loop.Timer> proved = new HashMap<>();
    /** Which cells this router reaches at its own site. */
    private BitSet cells = new BitSet();

    private boolean leaving;

    GatewayServer(Gateway gateway, Gateway.Bounds bounds) {
        this.gateway = gateway;
        taker = new Taker(new Taker.Bounds(
                bounds.parts(),
                bounds.kept(),
                bounds.keptBytes(),
                bounds.origins(),
                2 * gateway.times.longestUs(),
                gateway.times.beatUs()));
    }

    void clock(long nowUs) {
        taker.clock(nowUs);
    }

    /** Carries out all decisions that are due. */
    void decide() {
        Gateway.pull(() -> taker.decide(this));
    }

    void cells(BitSet now) {
        if (!now.equals(cells)) {
            cells = now;
            proved.keySet().forEach(this::sendCells);
        }
    }

    private void sendCells(FarSession session) {
        session.send(Wire.CELLS, cells.toByteArray());
    }

    /** Tells each near router which part was the last; what is in hand is finished. */
    void leave() {
        leaving = true;
        taker.leaves();
        new ArrayList<>(proved.keySet()).forEach(this::sendBye);
    }

    private void sendBye(FarSession session) {
        session.send(
                Wire.BYE, new Wire.Out().eight(taker.lastBegun(session.origin)).made());
    }

    // ---- Connections. ----

    void listen(InetSocketAddress at) throws IOException {
        listening = gateway.network.listening(at);
        listening.accept(this);
    }

    InetSocketAddress address() throws IOException {
        return listening.address();
    }

    @Override
    public Link.Owner owner() {
        return new FarSession(gateway, this);
    }

    /** Danger: connections that never prove themselves would hold all room; the oldest gives way. */
    @Override
    public void opened(Link link, Link.Owner owner) {
        FarSession session = (FarSession) owner;
        session.on(link, gateway.times.handshakeUs());
        unproved.add(session);
        if (unproved.size() > MAX_UNPROVED) {
            unproved.iterator().next().end(Ending.DONE);
        }
    }

    @Override
    public boolean mayOpen() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable why) {
        LOG.log(Level.WARNING, "event=accept_failed", why);
        gateway.loop.at(gateway.loop.now() + gateway.times.beatUs(), () -> listening.accept(this));
    }

    /** How many connections have not proved themselves. */
    int unproved() {
        return unproved.size();
    }

    /** The session has proved itself. */
    void proved(FarSession session) {
        unproved.remove(session);
        proved.put(session, null);
        heard(session);
        sendCells(session);
        if (leaving) {
            sendBye(session);
        }
    }

    /** The session has sent a heartbeat. */
    void heard(FarSession session) {
        if (proved.containsKey(session)) {
            long silentAt = gateway.loop.now() + SILENT_BEATS * gateway.times.beatUs();
            Loop.Timer silent = gateway.loop.at(silentAt, () -> session.end(Ending.SILENT));
            gateway.loop.takeBack(proved.put(session, silent));
        }
    }

    /** The session has ended. */
    void closed(FarSession session) {
        unproved.remove(session);
        gateway.loop.takeBack(proved.remove(session));
    }

    // ---- Parts. ----

    /**
     * A part that was begun has ended here.
     *
     * @param value of one that is done, else null
     * @param comeBackUs of a refused one, 0 for no advice
     */
    void ended(FarPart part, Fate fate, byte[] value, long comeBackUs) {
        part.tookUs = gateway.loop.now() - part.arrivedAt;
        part.comeBackUs = comeBackUs;
        part.value = value == null ? part.value : value;
        gateway.counters.add("far_" + fate.name().toLowerCase(Locale.ROOT));
        taker.ended(part, fate, part.value.length);
    }

    @Override
    public void begin(Taken part) {
        gateway.stages.begin((FarPart) part);
    }

    @Override
    public void giveUp(Taken part) {
        gateway.counters.add("far_given_up");
        gateway.stages.giveUp((FarPart) part);
    }

    @Override
    public void say(Object session, int line, long number, Fate fate, Taken part) {
        FarSession to = (FarSession) session;
        if (to.isProved()) {
            to.say(line, number, fate, (FarPart) part);
        }
    }

    @Override
    public void window(Object session, int parts) {
        FarSession to = (FarSession) session;
        if (to.isProved()) {
            to.send(Wire.WINDOW, new Wire.Out().four(parts).made());
        }
    }

    @Override
    public void close(Object session) {
        ((FarSession) session).end(Ending.GONE);
    }

    @Override
    public void wake(long at) {
        gateway.wakeAt(at);
    }
}
