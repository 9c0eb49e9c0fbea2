package tinlink.router;

import tinlink.net.MessageRejectedException;
import tinlink.net.CloseReason;
import tinlink.net.JsonReader;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Lets clients in and hands their queries to the module's turn. */
final class Intake implements Network.AcceptHandler {
    private static final Logger LOG = Logger.getLogger("tinlink.intake");
    private final EventLoop loop;
    private final Network network;
    private final Descriptors descriptors;
    private final QueryReader reader;
    private final ModuleTurn turn;
    private final int openCap;
    /** How long the other side may take to see a close. */
    private final long lingerUs;

    private final long mostReading;
    /** No client waits for longer than this. */
    private final long longestUs;
    /** Open client connections; each leaves as it ends. */
    private final Set<Client> clients = new LinkedHashSet<>();
    /**
     * Those that have had their last answer, that have said nothing yet, that have nothing in hand
     * now.
     */
    private final Set<Client> leaving = new LinkedHashSet<>();

    private final Set<Client> silent = new LinkedHashSet<>();
    private final Set<Client> idle = new LinkedHashSet<>();
    /**
     * Those of whose request a part has come, and since when; each leaves with the rest or its
     * answer.
     */
    private final Map<Client, Long> sending = new LinkedHashMap<>();
    /** When the first of them may be closed, while no other gives way; null while none has to. */
    private EventLoop.Timer room;
    /** Bytes of bodies that are being read. */
    private long reading;

    private boolean closing;
    /** What can't be answered by then is not taken. */
    private long takesUntil = Long.MAX_VALUE;

    private boolean ready = true;
    /** By what lookups are taken; null where it is always the same. */
    private PolicyLinks policy;

    Intake(
            EventLoop loop,
            Network network,
            Descriptors descriptors,
            QueryReader reader,
            ModuleTurn turn,
            int openCap,
            long lingerUs,
            long mostReading,
            long longestUs) {
        this.loop = loop;
        this.network = network;
        this.descriptors = descriptors;
        this.reader = reader;
        this.turn = turn;
        this.openCap = openCap;
        this.lingerUs = lingerUs;
        this.mostReading = mostReading;
        this.longestUs = longestUs;
    }

    // ---- The door. ----

    @Override
    public Connection.Listener newListener() {
        return new Client(this);
    }

    @Override
    public void accepted(Connection link, Connection.Listener owner) {
        opened(link, owner, loop.nowUs(), false);
    }

    /**
     * @param since when it was accepted; its first request has its time from then on
     * @param asked what it asks has waited for us since then, so that much less of its time is left
     */
    void opened(Connection link, Connection.Listener owner, long since, boolean asked) {
        descriptors.clientOpened();
        Client c = (Client) owner;
        c.on(link, asked ? since : Long.MAX_VALUE);
        clients.add(c);
        makeRoom();
        silent.add(c);
        c.awaits(since);
    }

    private void makeRoom() {
        if (!descriptors.hasForClient() && !closeIdle() && !sending.isEmpty() && room == null) {
            room = loop.schedule(sending.values().iterator().next() + lingerUs, () -> {
                room = null;
                makeRoom();
            });
        }
    }

    /** Danger: accepting without a descriptor to spare fails again at once, and spins. */
    @Override
    public boolean canAccept() {
        return descriptors.hasForClient();
    }

    @Override
    public void acceptFailed(Throwable why) {
        LOG.log(Level.WARNING, "accept failed", why);
        loop.schedule(loop.nowUs() + lingerUs, () -> network.accept(this));
    }

    /**
     * Closes one client connection that nothing is in hand on, which its client then opens anew.
     * Danger: clients that connect by the hundreds and say nothing would push out the usual ones;
     * they go first, right after those that are over but for their end. Last go those that have
     * long been sending.
     */
    boolean closeIdle() {
        int before = clients.size();
        whileReadsStop(this::closeOneIdle);
        return clients.size() < before;
    }

    void whileReadsStop(Runnable what) {
        network.whileReadsPaused(what);
    }

    private void closeOneIdle() {
        for (Set<Client> some : List.of(leaving, silent, idle)) {
            for (Client c : some) {
                if (some == leaving ? c.link().isIdle() : !c.link().hasUnprocessedRead()) {
                    c.link().close(CloseReason.IDLE);
                    return;
                }
            }
        }
        // Danger: clients that send byte by byte would hold all connections, and the usual ones
        // find none. A
        // request that is sent at all has come whole by now.
        for (Map.Entry<Client, Long> slow : sending.entrySet()) {
            Client c = slow.getKey();
            if (slow.getValue() + lingerUs > loop.nowUs()) {
                break;
            }
            if (!c.link().hasUnprocessedRead()) {
                c.link().close(CloseReason.IDLE);
                return;
            }
        }
    }

    // ---- What clients say. ----

    void busy(Client c) {
        idle.remove(c);
        silent.remove(c);
    }

    void idle(Client c) {
        sending.remove(c);
        if (clients.contains(c)) {
            idle.add(c);
            loop.execute(this::makeRoom);
            if (closing) {
                whileReadsStop(() -> letGo(c));
            }
        }
    }

    /** A part of a request has come. */
    void sends(Client c) {
        if (clients.contains(c)) {
            sending.putIfAbsent(c, loop.nowUs());
        }
    }

    /** It has come whole, or nothing more is read of it. */
    void sent(Client c) {
        sending.remove(c);
    }

    void ended(Client c) {
        clients.remove(c);
        leaving.remove(c);
        sending.remove(c);
        busy(c);
        descriptors.clientClosed();
        loop.execute(() -> network.accept(this));
    }

    /**
     * Between the two times that the protocol gives: after that, a connection with nothing in hand
     * is closed.
     */
    EventLoop.Timer whenTooLong(long sinceUs, Runnable what) {
        return loop.schedule(sinceUs + (3 * ProtocolLimits.MIN_CLIENT_IDLE_US + ProtocolLimits.MAX_CLIENT_WAIT_US) / 4, what);
    }

    /** What has been read, and waits for the loop, has been taken by then. */
    EventLoop.Timer whenSaid(Runnable what) {
        return loop.schedule(loop.nowUs() + lingerUs, what);
    }

    long now() {
        return loop.nowUs();
    }

    void takeBack(EventLoop.Timer t) {
        loop.cancel(t);
    }

    /** It has had its last answer; if it does not end the connection itself, we do. */
    void leave(Client c) {
        busy(c);
        sending.remove(c);
        leaving.add(c);
        leave(c, loop.nowUs() + longestUs);
    }

    private void leave(Client c, long atLast) {
        loop.schedule(loop.nowUs() + lingerUs, () -> {
            if (c.link().isIdle() || loop.nowUs() >= atLast) {
                c.link().close(CloseReason.DONE);
            } else {
                leave(c, atLast);
            }
        });
    }

    void soon(Client c) {
        loop.execute(() -> {
            if (!c.link().isClosed()) {
                c.link().resumeReading();
            }
        });
    }

    /** The answer is the last one on its connection. */
    boolean closing() {
        return closing || descriptors.crowded(idle.size());
    }

    /** Whether clients may be sent here. */
    boolean ready() {
        return ready && (policy == null || policy.why().isEmpty());
    }

    /** From now on lookups are taken by the policy in force, or not at all. */
    void goesBy(PolicyLinks policy) {
        this.policy = policy;
    }

    /** From now on clients are sent elsewhere; those that are here are served. */
    void notReady() {
        ready(false);
    }

    void ready(boolean is) {
        ready = is;
    }

    /** @param askedAt when its client has asked, as far as that is known */
    Query read(Map<String, String> fields, JsonReader body, Client c, long askedAt)
            throws MessageRejectedException {
        Query q = reader.read(
                fields,
                body,
                c,
                Math.min(askedAt, loop.nowUs()),
                policy == null ? null : policy.indexes());
        if (turn.knows(q.callId)) {
            throw new MessageRejectedException(409, "x-call-id: one of that id is or was in hand");
        }
        return q;
    }

    /** Danger: bodies that many clients send at once, each in full size, would fill the heap. */
    boolean reads(int bytes) {
        reading += bytes;
        return reading <= mostReading;
    }

    /**
     * The settings' number of lookups and parts in hand has not been reached, nor is there too
     * little time.
     */
    boolean hasRoom(Query q) {
        return turn.open() < (policy == null ? openCap : policy.openCap())
                && q.leavesAt <= takesUntil;
    }

    void take(Query q) {
        turn.take(q);
    }

    void gone(Query q) {
        turn.clientGone(q);
    }

    // ---- The stop. ----

    void takesUntil(long us) {
        takesUntil = us;
    }

    /**
     * Clients with nothing in hand are told that nothing more comes; what crosses that goes
     * elsewhere.
     */
    void closeDoor() {
        closing = true;
        network.stopAccepting();
        whileReadsStop(() -> {
            List.copyOf(idle).forEach(this::letGo);
            List.copyOf(silent).forEach(this::letGo);
        });
    }

    /**
     * What has been read and waits for the loop is answered first, as the last on its connection.
     */
    private void letGo(Client c) {
        if (!c.link().hasUnprocessedRead()) {
            c.letGo();
        }
    }

    /** Clients are let in again, at that address. */
    void openDoor(InetSocketAddress at) throws IOException {
        network.listen(at);
        closing = false;
        network.accept(this);
    }

    int clients() {
        return clients.size();
    }

    boolean isEmpty() {
        return clients.isEmpty();
    }
}
