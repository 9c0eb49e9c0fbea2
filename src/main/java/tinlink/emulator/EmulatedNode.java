package tinlink.emulator;

import org.apache.commons.statistics.distribution.LogNormalDistribution;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A data node of our own on loopback: takes part calls in frames, works on them with so many cores
 * and a bounded queue, answers each, and records what ran. It can be told to stall, to fail, to
 * turn away, to die and to return.
 */
public final class EmulatedNode {
    /** How it does its work at the moment. */
    public enum Behavior {
        WELL,
        STALLED,
        FAILING,
        REFUSING
    }

    /**
     * How a node works off its parts.
     *
     * @param medianUs of the time that a part takes; sigma of its logarithm
     */
    public record ServiceModel(int cores, int queue, double medianUs, double sigma) {}

    public final String uid;
    public final int cell;
    private final EmulatorLoop emulatorLoop;
    private final RunLog runLog;
    private final ServiceModel work;
    private final LogNormalDistribution times;
    private final SplittableRandom random;
    private final Set<AcceptedConnection> connections = new HashSet<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    /** Parts that it has begun and, stalled, does not go on with. */
    private final List<Job> stalled = new ArrayList<>();

    private Network.ListeningSocket listening;
    private InetSocketAddress address;
    private Behavior behavior = Behavior.WELL;
    private int busy;
    private long generation;
    private boolean up = true;

    record Job(Caller from, String id, String key, String text) {}

    /** A connection by which parts come, whatever it speaks. */
    interface Caller extends Connection.Listener {
        void answer(Job j, String end, String value);

        Connection link();
    }

    /** How it behaves as a server of HTTP/2; it takes either protocol at its one address. */
    public final Http2Behavior http2 = new Http2Behavior();

    /** Figures that may be changed at any time, on the emulation's thread. */
    public static final class Http2Behavior {
        /** It takes HTTP/2 at all. */
        public boolean supported = true;
        /** Streams at a time; below 0 it does not say. */
        public long streams = 100;

        public int initialWindow = 65_535;
        /** Windows are given back as they are used. */
        public boolean returnsWindow = true;
        /**
         * The next so many requests are refused, or reset once they have run, instead of answered.
         */
        public int refuseNext;

        public int resetNext;
    }

    EmulatedNode(
            EmulatorLoop emulatorLoop,
            RunLog runLog,
            String uid,
            int cell,
            ServiceModel work,
            long seed)
            throws IOException {
        this.emulatorLoop = emulatorLoop;
        this.runLog = runLog;
        this.uid = uid;
        this.cell = cell;
        this.work = work;
        times = LogNormalDistribution.of(Math.log(work.medianUs()), work.sigma());
        random = new SplittableRandom(seed);
        listening = emulatorLoop.listen(EmulatorLoop.loopback(0), AcceptedConnection::new);
        address = listening.address();
    }

    public InetSocketAddress address() {
        return address;
    }

    public void behavior(Behavior now) {
        emulatorLoop.run(() -> {
            behavior = now;
            if (now != Behavior.STALLED) {
                List<Job> all = List.copyOf(stalled);
                stalled.clear();
                all.forEach(this::finish);
            }
        });
    }

    /**
     * Its process is gone: connections break, new ones are refused, what was in hand is never
     * answered.
     */
    public void kill() {
        emulatorLoop.run(() -> {
            listening.close();
            up = false;
            generation++;
            queue.clear();
            stalled.clear();
            busy = 0;
            List.copyOf(connections).forEach(d -> d.link.close(CloseReason.COMPLETED));
        });
    }

    /** It is back at its address, if it was gone. */
    public void restart() {
        emulatorLoop.run(() -> {
            if (up) {
                return;
            }
            try {
                listening = emulatorLoop.listen(address, AcceptedConnection::new);
                up = true;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    // ---- Its work. ----

    private void enqueue(Job j) {
        if (behavior == Behavior.REFUSING || queue.size() >= work.queue()) {
            answer(j, "REJECTED", "");
        } else {
            queue.add(j);
            startNext();
        }
    }

    private void startNext() {
        while (busy < work.cores() && !queue.isEmpty()) {
            Job j = queue.poll();
            busy++;
            runLog.add(new RunLog.Run(j.id, uid, emulatorLoop.now(), j.key));
            long now = generation;
            double us = times.inverseCumulativeProbability(0.0005 + 0.999 * random.nextDouble());
            emulatorLoop.schedule(emulatorLoop.now() + Math.max(1, Math.round(us)), () -> {
                if (generation == now) {
                    finish(j);
                }
            });
        }
    }

    private void finish(Job j) {
        if (behavior == Behavior.STALLED) {
            stalled.add(j);
            return;
        }
        busy--;
        boolean fails = behavior == Behavior.FAILING;
        answer(j, fails ? "ERROR" : "OK", fails ? "" : RunLog.value(j.id, j.text));
        startNext();
    }

    private static void answer(Job j, String end, String value) {
        if (!j.from.link().isClosed()) {
            j.from.answer(j, end, value);
        }
    }

    // ---- For connections. ----

    /** Changes how it behaves over HTTP/2. */
    public void http2(Consumer<Http2Behavior> change) {
        emulatorLoop.run(() -> {
            long before = http2.streams;
            change.accept(http2);
            if (http2.streams != before) {
                connections.stream()
                        .filter(d -> d.as instanceof Http2Caller)
                        .forEach(d -> ((Http2Caller) d.as).streams((int) http2.streams));
            }
        });
    }

    boolean isSilent() {
        return behavior == Behavior.STALLED;
    }

    /** Whether that part has begun to run. */
    boolean hasBegun(Caller from, String id) {
        return queue.stream().noneMatch(j -> j.from == from && j.id.equals(id))
                && !runLog.runsOf(id).isEmpty();
    }

    void callReceived(Job j) {
        enqueue(j);
    }

    void cancel(Caller from, String id) {
        queue.removeIf(j -> j.from == from && (id == null || j.id.equals(id)));
    }

    /** Whoever connects: HTTP/2 begins with its preface, a frame's length with a zero byte. */
    private final class AcceptedConnection implements EmulatorLoop.ConnectionHandler {
        private Connection link;
        private Caller as;

        @Override
        public void connectionAccepted(Connection link) {
            this.link = link;
            connections.add(this);
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            if (as == null && in.size() > 0) {
                as = in.peek() == 'P' && http2.supported
                        ? new Http2Caller(EmulatedNode.this, link)
                        : new FrameCaller(link);
            }
            if (as != null) {
                as.bytesReceived(in);
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            connections.remove(this);
            if (as != null) {
                cancel(as, null);
                as.connectionClosed(closeReason);
            }
        }
    }

    /**
     * Says goodbye on all connections by HTTP/2: nothing above what has come so far, less so many,
     * has run.
     */
    public void goAway(int less, boolean twice) {
        emulatorLoop.run(() -> {
            for (AcceptedConnection d : List.copyOf(connections)) {
                if (d.as instanceof Http2Caller c) {
                    c.goAway(less, twice);
                }
            }
        });
    }

    /** Connections that are open now. */
    public int connectionCount() {
        return emulatorLoop.call(connections::size);
    }

    /** A router's connection by frames. */
    private final class FrameCaller implements Caller {
        private final Connection link;
        private int head;
        private int length;
        private ByteBuffer frame;

        FrameCaller(Connection link) {
            this.link = link;
        }

        @Override
        public Connection link() {
            return link;
        }

        @Override
        public void answer(Job j, String end, String value) {
            frame('Y', j.id + " " + end + " 1 -\n" + value);
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            while (in.size() > 0 && !link.isClosed()) {
                if (head < 4) {
                    length = length << 8 | (in.take() & 0xff);
                    if (++head == 4) {
                        if (length < 1
                                || length
                                        > 64
                                                * (ProtocolLimits.MAX_HEAD_BYTES
                                                        + ProtocolLimits.MAX_BODY_BYTES)) {
                            unusable("a length of " + length);
                            return;
                        }
                        frame = ByteBuffer.allocate(length);
                    }
                    continue;
                }
                frame.put(in.takeContiguous(frame.remaining()));
                if (!frame.hasRemaining()) {
                    head = 0;
                    length = 0;
                    whole(frame.flip());
                }
            }
        }

        private void whole(ByteBuffer f) {
            byte letter = f.get();
            if (letter == 'A') {
                String id = StandardCharsets.UTF_8.decode(f).toString();
                cancel(this, id);
            } else if (letter == 'R') {
                while (f.hasRemaining()) {
                    if (!part(f)) {
                        unusable("a line that can't be read");
                        return;
                    }
                }
            } else {
                unusable("a letter " + letter);
            }
        }

        /** One line and its text. */
        private boolean part(ByteBuffer f) {
            int from = f.position();
            int lf = from;
            while (lf < f.limit() && f.get(lf) != '\n') {
                lf++;
            }
            String head = new String(
                    f.array(), f.arrayOffset() + from, lf - from, StandardCharsets.UTF_8);
            String[] w = head.split(" ", 0);
            if (lf == f.limit()
                    || w.length != 4
                    || !w[1].matches("[0-9]{1,9}")
                    || !w[3].matches("[0-9]{1,6}")
                    || Integer.parseInt(w[3]) > f.limit() - lf - 1) {
                return false;
            }
            int n = Integer.parseInt(w[3]);
            int at = w[2].indexOf("k=");
            if (w[2].matches("d=[0-9]{1,9}(,.*)?")) {
                runLog.callReceived(
                        w[0], Long.parseLong(w[2].substring(2).replaceFirst(",.*", "")));
            }
            enqueue(new Job(
                    this,
                    w[0],
                    at < 0 ? null : w[2].substring(at + 2),
                    new String(f.array(), f.arrayOffset() + lf + 1, n, StandardCharsets.UTF_8)));
            f.position(lf + 1 + n);
            return true;
        }

        private void unusable(String why) {
            frame('N', why);
            emulatorLoop.schedule(
                    emulatorLoop.now() + 1000, () -> link.close(CloseReason.PROTOCOL_ERROR));
        }

        private void frame(char letter, String rest) {
            byte[] b = (letter + rest).getBytes(StandardCharsets.UTF_8);
            link.out().put(ByteBuffer.allocate(4).putInt(b.length).array()).put(b);
            link.scheduleWrite();
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            // Its door forgets it.
        }
    }
}
