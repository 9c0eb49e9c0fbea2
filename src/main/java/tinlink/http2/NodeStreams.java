package tinlink.http2;

import tinlink.decision.Outcome;
import tinlink.http2.choice.Conn;
import tinlink.http2.choice.Over;
import tinlink.http2.choice.Pool;
import tinlink.http2.choice.Waiting;
import tinlink.net.Counters;
import tinlink.net.Ending;
import tinlink.net.Loop;
import tinlink.net.Network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The connections to one data node over HTTP/2: the hands of its {@link Pool}. */
public final class NodeStreams implements Pool.Hands {
    private static final Logger LOG = Logger.getLogger("tinlink.http2");

    /** Whoever the calls come from. */
    public interface Host {
        /** A descriptor for one more connection. */
        boolean mayOpen();

        void opened();

        void closed();

        /** The one outcome of a call; its value where it is satisfied. */
        void over(PartRequest r, Outcome how, String value);

        /** The node does not speak HTTP/2: by frames then. */
        void otherwise(PartRequest r);

        /** Pulls the decisions of this node at the end of the turn. */
        void touched(NodeStreams node);
    }

    private final Loop loop;
    private final Network network;
    private final Host host;
    private final Counters counters;
    private final Pool pool;
    private final Pool.Bounds bounds;
    private final Map<Conn, NodeConn> conns = new HashMap<>();
    private InetSocketAddress address;

    public NodeStreams(
            Loop loop, Network network, Host host, Counters counters, Pool.Bounds bounds) {
        this.loop = loop;
        this.network = network;
        this.host = host;
        this.counters = counters;
        this.bounds = bounds;
        pool = new Pool(bounds);
    }

    /**
     * Whether calls go this way now; a node that has shown that it speaks something else is asked
     * again later.
     */
    public boolean speaks() {
        pool.clock(loop.now());
        return pool.speaks();
    }

    public void send(PartRequest r, InetSocketAddress to) {
        address = to;
        touch();
        counters.add("http2_calls");
        pool.call(r);
    }

    /**
     * Its outcome is known.
     *
     * @param say the node should hear that it is given up
     */
    public void cancel(PartRequest r, boolean say) {
        touch();
        r.over = true;
        if (r.waits()) {
            pool.drop(r);
        } else if (r.conn != null) {
            r.conn.cancel(r, say);
        }
    }

    /** It has moved or started anew: what is out is finished where it is. */
    public void moved() {
        touch();
        conns.keySet().forEach(pool::retire);
    }

    /** Nothing new may go there: what waits was never sent. */
    public void dropWaiting() {
        touch();
        pool.dropWaiting();
    }

    public void gone() {
        touch();
        pool.gone();
    }

    public boolean isEmpty() {
        return conns.isEmpty() && pool.waiting() == 0;
    }

    public int connections() {
        return conns.size();
    }

    /** Closes what nothing is out on. */
    public void release() {
        for (NodeConn c : List.copyOf(conns.values())) {
            if (c.conn.open() == 0) {
                c.end(Ending.RELEASED);
            }
        }
    }

    private void touch() {
        pool.clock(loop.now());
        host.touched(this);
    }

    public void decides() {
        pool.clock(loop.now());
        while (pool.decide(this)) {
            // Each has been carried out.
        }
    }

    // ---- Decisions. ----

    @Override
    public void open(Conn c) {
        if (address == null || !host.mayOpen()) {
            pool.ended(c, false, Over.NEVER_LEFT);
            return;
        }
        NodeConn n = new NodeConn(this, c, bounds.waiting());
        try {
            tinlink.net.Link link = network.connect(address, n);
            n.on(link, loop.at(loop.now() + bounds.connectUs(), () -> link.end(Ending.NOT_UP)));
            conns.put(c, n);
            counters.add("http2_connections");
            host.opened();
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=http2_no_connection node=" + address, e);
            pool.ended(c, false, Over.NEVER_LEFT);
        }
    }

    @Override
    public void place(Waiting call, Conn c) {
        conns.get(c).place((PartRequest) call, loop.now());
    }

    @Override
    public void over(Waiting call, Over how) {
        over((PartRequest) call, how, null);
    }

    @Override
    public void otherwise(Waiting call) {
        counters.add("http2_not_spoken");
        ((PartRequest) call).over = true;
        host.otherwise((PartRequest) call);
    }

    @Override
    public void ping(Conn c, long number) {
        conns.get(c).ping(number);
    }

    @Override
    public void close(Conn c, boolean silent) {
        conns.get(c).end(silent ? Ending.SILENT : Ending.IDLE);
    }

    @Override
    public void wake(long at) {
        loop.at(at, this::touch);
    }

    // ---- What connections say. ----

    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    Counters counters() {
        return counters;
    }

    void soon(Runnable what) {
        loop.ready(what);
    }

    void takeBack(Loop.Timer t) {
        loop.takeBack(t);
    }

    Loop.Timer whenStuck(Runnable what) {
        return loop.at(loop.now() + bounds.connectUs(), what);
    }

    void up(NodeConn c) {
        touch();
        pool.up(c.conn);
    }

    void settled(NodeConn c, long streams) {
        touch();
        pool.settled(c.conn, streams);
    }

    void heard(NodeConn c) {
        touch();
        pool.heard(c.conn);
    }

    void ponged(NodeConn c, long number) {
        touch();
        pool.ponged(c.conn, number);
    }

    void retire(NodeConn c) {
        touch();
        pool.retire(c.conn);
    }

    void closed(NodeConn c) {
        touch();
        pool.closed(c.conn);
    }

    void over(PartRequest r, Over how, String value) {
        counters.add("http2_" + how.name().toLowerCase(Locale.ROOT));
        r.over = true;
        host.over(r, how.outcome, value);
    }

    void lost(PartRequest r, Outcome how) {
        counters.add("http2_lost");
        r.over = true;
        host.over(r, how, null);
    }

    void ended(NodeConn c, boolean wasUp, Ending how) {
        touch();
        if (conns.remove(c.conn, c)) {
            host.closed();
        }
        pool.ended(c.conn, wasUp, how == Ending.NO_SOCKET ? Over.NEVER_LEFT : Over.NO_CONNECTION);
    }
}
