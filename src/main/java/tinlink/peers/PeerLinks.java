package tinlink.peers;

import tinlink.net.BadMessage;
import tinlink.net.Counters;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.peers.choice.Life;
import tinlink.sealed.Keys;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Sealed links with other routers of a cluster, opened when there is something to say and closed
 * when there has been nothing for a while. What is said may get lost, with its link or where too
 * much waits; whoever speaks here says again what matters. Runs on the loop's thread.
 */
public final class PeerLinks implements Network.Door {
    private static final Logger LOG = Logger.getLogger("tinlink.peers");
    /** Connections that have not proved themselves, where nothing else is stated. */
    static final int STRANGERS = 16;
    /** What may wait for one link to come up. */
    private static final int MOST_WAITING = 64;

    private static final long MOST_WAITING_BYTES = 4L << 20;

    /**
     * The times of links, in microseconds.
     *
     * @param idleUs a link with nothing said for so long is closed
     * @param againUs an address where nobody answered is left alone for so long
     */
    public record Times(long handshakeUs, long idleUs, long againUs) {}

    /**
     * @param links out, and as many in
     * @param strangers that have called and not proved themselves; the oldest gives way
     */
    public record Most(int links, int strangers) {}

    /** What hears what peers say. */
    public interface Hears {
        /**
         * A message has come.
         *
         * @param from proved by its key; that it is the one router of that name is not
         */
        void heard(Life from, byte type, ByteBuffer body) throws BadMessage;
    }

    @SuppressWarnings(
            "ArrayRecordComponent") // Waits are never compared; the bytes go out as they are.
    private record Waits(byte type, byte[] body) {}

    /** One address that is spoken to. */
    private static final class To {
        PeerSession session;
        boolean up;
        /** Emptied as the link comes up, or does not. */
        final ArrayDeque<Waits> waiting = new ArrayDeque<>();

        long bytes;
        long notBefore;
    }

    final Loop loop;
    final String cluster;
    final Life self;
    final Times times;
    final Counters counters = new Counters();
    final Traffic traffic = new Traffic();
    Keys keys;
    private final Network network;
    private final Hears hears;
    private final Most most;
    private final SecureRandom secret = new SecureRandom();
    private Network.Listening listening;
    /** Least used first, bounded. */
    private final Map<String, To> to = new LinkedHashMap<>(16, 0.75f, true);
    /** Those who have called: not yet proved, and proved. Each leaves as its link ends. */
    private final Set<PeerSession> strangers = new LinkedHashSet<>();

    private final Set<PeerSession> callers = new LinkedHashSet<>();

    public PeerLinks(
            Loop loop,
            Network network,
            String cluster,
            Life self,
            Keys keys,
            Times times,
            Most most,
            Hears hears) {
        this.loop = loop;
        this.network = network;
        this.cluster = cluster;
        this.self = self;
        this.keys = keys;
        this.times = times;
        this.most = most;
        this.hears = hears;
    }

    public void listen(InetSocketAddress at) throws IOException {
        listening = network.listening(at);
        listening.accept(this);
        loop.at(loop.now() + times.idleUs(), this::closeIdle);
    }

    public InetSocketAddress address() throws IOException {
        return listening.address();
    }

    public Counters counters() {
        return counters;
    }

    public Traffic traffic() {
        return traffic;
    }

    /** Open at the moment: called, calling, and those that have not proved themselves yet. */
    public int connections() {
        int out = (int) to.values().stream().filter(t -> t.session != null).count();
        return out + callers.size() + strangers.size();
    }

    /** From now on these are the keys; links that are up stay. */
    public void keys(Keys now) {
        keys = now;
    }

    byte[] nonce() {
        byte[] n = new byte[PeerWire.NONCE];
        secret.nextBytes(n);
        return n;
    }

    /** Says it there, if it can be said. */
    public void send(String at, byte type, byte[] body) {
        To t = to.get(at);
        if (t == null) {
            makeRoom();
            t = new To();
            to.put(at, t);
        }
        if (t.up) {
            // Danger: a peer that stands still reads nothing, and all that is said to it would be
            // held here.
            if (t.session.backlog() > MOST_WAITING_BYTES) {
                counters.add("peers_not_sent");
                t.session.end(Ending.SILENT);
                return;
            }
            t.session.usedAt = loop.now();
            t.session.send(type, body);
            return;
        }
        if (t.session == null && loop.now() < t.notBefore) {
            counters.add("peers_not_sent");
            return;
        }
        t.waiting.add(new Waits(type, body));
        t.bytes += body.length;
        while (t.waiting.size() > MOST_WAITING || t.bytes > MOST_WAITING_BYTES) {
            t.bytes -= t.waiting.poll().body().length;
            counters.add("peers_not_sent");
        }
        if (t.session == null) {
            connect(at, t);
        }
    }

    private void connect(String at, To t) {
        PeerSession s = new PeerSession(this, at);
        t.session = s;
        try {
            s.on(network.connect(address(at), s), times.handshakeUs());
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.FINE, "event=no_peer_connection at=" + at, e);
            failed(t);
        }
    }

    private static InetSocketAddress address(String at) {
        int colon = at.lastIndexOf(':');
        return new InetSocketAddress(
                at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
    }

    private void failed(To t) {
        t.session = null;
        t.up = false;
        t.notBefore = loop.now() + times.againUs();
        for (int i = 0; i < t.waiting.size(); i++) {
            counters.add("peers_not_sent");
        }
        t.waiting.clear();
        t.bytes = 0;
    }

    /**
     * Danger: a cluster larger than was meant would hold all descriptors; who was spoken to least
     * gives way.
     */
    private void makeRoom() {
        while (to.size() >= most.links()) {
            Iterator<To> first = to.values().iterator();
            To t = first.next();
            first.remove();
            if (t.session != null) {
                t.session.end(Ending.IDLE);
            }
        }
    }

    private void closeIdle() {
        for (To t : Set.copyOf(to.values())) {
            if (t.up && loop.now() - t.session.usedAt > times.idleUs()) {
                t.session.end(Ending.IDLE);
            }
        }
        loop.at(loop.now() + times.idleUs(), this::closeIdle);
    }

    void opened(PeerSession s) {
        To t = to.get(s.called);
        if (t == null || t.session != s) {
            s.end(Ending.DONE);
            return;
        }
        t.up = true;
        s.usedAt = loop.now();
        counters.add("peers_links_up");
        while (!t.waiting.isEmpty()) {
            Waits w = t.waiting.poll();
            s.send(w.type(), w.body());
        }
        t.bytes = 0;
    }

    void closed(PeerSession s) {
        if (s.called == null) {
            strangers.remove(s);
            callers.remove(s);
            return;
        }
        To t = to.get(s.called);
        if (t != null && t.session == s) {
            boolean was = t.up;
            failed(t);
            t.notBefore = was
                    ? 0
                    : t.notBefore; // It was there a moment ago: called again as there is need.
        }
    }

    /** It has proved itself. */
    void came(PeerSession s) {
        strangers.remove(s);
        callers.add(s);
        if (callers.size() > most.links()) {
            callers.iterator().next().end(Ending.IDLE);
        }
    }

    void heard(Life from, byte type, ByteBuffer body) throws BadMessage {
        hears.heard(from, type, body);
    }

    @Override
    public Link.Owner owner() {
        return new PeerSession(this, null);
    }

    /**
     * Danger: connections that never prove themselves would hold all room; the oldest gives way.
     */
    @Override
    public void opened(Link link, Link.Owner owner) {
        PeerSession s = (PeerSession) owner;
        s.on(link, times.handshakeUs());
        strangers.add(s);
        if (strangers.size() > most.strangers()) {
            strangers.iterator().next().end(Ending.DONE);
        }
    }

    @Override
    public boolean mayOpen() {
        return true;
    }

    @Override
    public void acceptFailed(Throwable why) {
        LOG.log(Level.WARNING, "event=accept_failed", why);
        loop.at(loop.now() + times.againUs(), () -> listening.accept(this));
    }

    /** Ends all links. */
    public void close() {
        listening.close();
        Set.copyOf(callers).forEach(s -> s.end(Ending.DONE));
        Set.copyOf(strangers).forEach(s -> s.end(Ending.DONE));
        for (To t : Set.copyOf(to.values())) {
            if (t.session != null) {
                t.session.end(Ending.DONE);
            }
        }
    }
}
