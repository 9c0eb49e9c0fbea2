package tinlink.router;

import tinlink.decision.Index;
import tinlink.net.MessageRejectedException;
import tinlink.net.CloseReason;
import tinlink.net.HttpReader;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.RingBuffer;
import tinlink.start.RouterStart;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Plays lookups before the router is ready: all stages run, with a module of their own, against
 * clients and data nodes that are this process itself, at the address where it will serve. Danger:
 * on part of a core the code of a JVM that has just started is so slow that the first clients' time
 * is over before they are read.
 *
 * <p>Danger: clients come back before a router that was killed has warmed up, and would be answered
 * with what the stand-ins here make up. So each connection of the warm-up's own shows a word that
 * nobody else knows; all others wait unread, and are handed to the real door when the warm-up is
 * over.
 */
final class Warmup implements Network.AcceptHandler, EventLoop.EventLoopParticipant {
    /**
     * What a first run costs, loading and linking, is over with the first few; each more makes a
     * restart longer.
     */
    private static final int LOOKUPS = 24;

    private static final int ASKERS = 4;
    private static final int MOST_PARTS = 5;
    /** A frame of the warm-up's own is far shorter. */
    private static final int MOST_FRAME = 4096;
    /** Begins what our own clients show; no request begins so. */
    private static final char OURS = 1;

    private final RouterStart start;
    private final EventLoop loop;
    private final Network network;
    private final Stages real;
    private final Runnable then;
    private final Stages stages;
    private final Intake intake;
    /** Begins the ids of our own lookups. */
    private final String word;
    /** Begins each connection of our own clients'. */
    private final String shown;

    private final List<Map.Entry<String, Index>> indexes;
    private final List<Asker> own = new ArrayList<>();
    /** Accepted and not known as our own; all leave when the warm-up is over. */
    private final Set<Caller> waiting = new LinkedHashSet<>();
    /** Frames come there; whoever sent them, none of it outlives the warm-up. */
    private final List<Connection> frames = new ArrayList<>();

    private final EventLoop.Timer limit;
    private boolean over;
    private int asked;
    private int answered;
    private int askers;

    /**
     * @param start read for this alone, since its module is used up
     * @param network listens already; the door is ours until the end
     * @param real those who will serve, to whom clients that come meanwhile are handed
     * @param then run once, when all has been played
     */
    Warmup(RouterStart start, EventLoop loop, Network network, Stages real, Runnable then)
            throws IOException {
        this.start = start;
        this.loop = loop;
        this.network = network;
        this.real = real;
        this.then = then;
        word = String.format("%016x", new SplittableRandom(start.seed).split().nextLong());
        shown = OURS + word;
        indexes = List.copyOf(start.lookups.indexes().entrySet());
        stages = new Stages(loop, network.withoutServer(), start, start.built.module);
        intake = stages.intake;
        intake.notReady();
        stages.turn.serves(stages.sends, () -> {}); // Its list is its own; discovery is not asked.
        stages.turn.turnStarted(loop.nowUs());
        stages.roster.known(list(network.address()));
        for (int i = 0; i < ASKERS; i++) {
            Asker a = new Asker();
            a.link = network.connect(network.address(), a);
            own.add(a);
            askers++;
        }
        limit = loop.schedule(loop.nowUs() + start.longestUs, this::end);
    }

    int answered() {
        return answered;
    }

    /** Our own connections are closed; who has come meanwhile goes on waiting. */
    void end() {
        if (over) {
            return;
        }
        over = true;
        loop.cancel(limit);
        own.forEach(a -> a.link.close(CloseReason.DONE));
        stages.sends.endAll();
        frames.forEach(l -> l.close(CloseReason.DONE));
        then.run();
    }

    /** Clients that wait come to the real door, each with what it has sent. */
    void handOver() {
        List<Caller> clients = List.copyOf(waiting);
        waiting.clear();
        for (Caller c : clients) {
            real.descriptors.clientClosed();
            c.as = real.intake.newListener();
            // Danger: its client's time runs while it waits here; answered by ours, it would come
            // too late.
            real.intake.opened(c.link, c.as, c.link.acceptedAtUs(), c.said);
            c.link.resumeReading();
        }
    }

    @Override
    public void turnStarted(long nowUs) {
        stages.turn.turnStarted(nowUs);
    }

    @Override
    public void turnEnding() {
        stages.turn.turnEnding();
    }

    /** A data node for each shard, at our own address. */
    private Map<?, ?> list(InetSocketAddress at) {
        String endpoint = at.getAddress().getHostAddress() + ":" + at.getPort();
        return Map.of(
                "rev",
                0.0,
                "targets",
                IntStream.range(0, start.lookups.shards())
                        .mapToObj(i -> Map.of(
                                "uid",
                                "warm" + i,
                                "endpoint",
                                endpoint,
                                "pod_group",
                                (double) i,
                                "state",
                                "in_service"))
                        .toList());
    }

    // ---- The door. ----

    @Override
    public Connection.Listener newListener() {
        return new Caller();
    }

    @Override
    public void accepted(Connection link, Connection.Listener owner) {
        Caller c = (Caller) owner;
        c.link = link;
        waiting.add(c);
        real.descriptors.clientOpened();
    }

    @Override
    public boolean canAccept() {
        return real.intake.canAccept();
    }

    @Override
    public void acceptFailed(Throwable why) {
        end();
    }

    /**
     * Whoever connects: a frame's length begins with a zero byte, our own clients with their mark
     * and word.
     */
    private final class Caller implements Connection.Listener {
        private final StringBuilder shows = new StringBuilder();
        private Connection link;
        private Connection.Listener as;
        private boolean said;

        @Override
        public void bytesReceived(RingBuffer in) {
            said |= in.size() > 0;
            if (as == null && in.size() > 0 && !over) {
                if (in.peek() == 0) {
                    known(new Answerer(link));
                    frames.add(link);
                } else if (!shows.isEmpty() || in.peek() == OURS) {
                    show(in);
                }
            }
            if (as != null) {
                as.bytesReceived(in);
            }
        }

        private void show(RingBuffer in) {
            while (in.size() > 0 && shows.length() < shown.length()) {
                shows.append((char) in.take());
            }
            if (shows.length() == shown.length()) {
                if (shown.contentEquals(shows)) {
                    Connection.Listener client = intake.newListener();
                    known(client);
                    intake.accepted(link, client);
                } else {
                    link.close(CloseReason.BAD_INPUT); // No request begins so, whoever it is.
                }
            }
        }

        /** It is not one that waits for the real door. */
        private void known(Connection.Listener who) {
            as = who;
            if (waiting.remove(this)) {
                real.descriptors.clientClosed();
            }
        }

        @Override
        public void writesCompleted() {
            if (as != null) {
                as.writesCompleted();
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            if (as != null) {
                as.connectionClosed(closeReason);
            } else {
                known(null);
                network.accept(Warmup.this);
            }
        }
    }

    /** A data node: answers each part, now and then with an error or by turning it away. */
    private final class Answerer implements Connection.Listener {
        private final Connection link;
        private final byte[] length = new byte[4];
        private int head;
        private ByteBuffer frame;
        private int parts;

        Answerer(Connection link) {
            this.link = link;
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            while (in.size() > 0) {
                if (head < length.length) {
                    length[head++] = in.take();
                    if (head == length.length && !begins(ByteBuffer.wrap(length).getInt())) {
                        return;
                    }
                } else {
                    frame.put(in.takeContiguous(frame.remaining()));
                    if (!frame.hasRemaining()) {
                        head = 0;
                        answer(new String(frame.array(), StandardCharsets.UTF_8));
                    }
                }
            }
        }

        /** Danger: anybody may have sent this, not only our own. */
        private boolean begins(int size) {
            if (size < 0 || size > MOST_FRAME) {
                link.close(CloseReason.BAD_INPUT);
                return false;
            }
            frame = ByteBuffer.allocate(size);
            return true;
        }

        private void answer(String whole) {
            for (int at = 1; whole.charAt(0) == 'R' && at < whole.length(); parts++) {
                int lf = whole.indexOf('\n', at);
                String[] words =
                        lf < 0 ? new String[0] : whole.substring(at, lf).split(" ");
                if (words.length != 4 || !words[0].startsWith(word)) {
                    link.close(CloseReason.BAD_INPUT);
                    return;
                }
                at = lf + 1 + Integer.parseInt(words[3]);
                String end = parts % 32 == 30 ? "ERROR" : parts % 32 == 14 ? "REJECTED" : "OK";
                byte[] y = ("Y" + words[0] + " " + end + " 1 -\n" + words[0])
                        .getBytes(StandardCharsets.UTF_8);
                link.out().put(ByteBuffer.allocate(4).putInt(y.length).array()).put(y);
            }
            link.scheduleWrite();
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            // Nothing is kept of it.
        }
    }

    /**
     * A client that asks again as soon as it is answered; whatever the answer is, it has run the
     * code.
     */
    private final class Asker implements Connection.Listener, HttpReader.MessageListener {
        private final HttpReader reader = HttpReader.forResponses(this);
        private Connection link;

        @Override
        public void connected() {
            link.out().put(shown);
            ask();
        }

        private void ask() {
            if (asked == LOOKUPS) {
                return;
            }
            Map.Entry<String, Index> index = indexes.get(asked % indexes.size());
            int parts = Math.min(MOST_PARTS, start.lookups.shards());
            List<String> segments = new ArrayList<>();
            for (int i = 0; i < parts; i++) {
                segments.add("{\"segment\":" + i + ",\"boost\":" + 1.0 / parts + "}");
            }
            String body = "{\"segments\":[" + String.join(",", segments) + "],\"text\":\"warm\"}";
            link.out()
                    .put("POST /api HTTP/1.1\r\nHost: warm\r\nX-Call-Id: " + word + asked++
                            + "\r\nX-Call-Class: "
                            + index.getKey() + "\r\nX-Budget-Ms: " + index.getValue().hardUs / 1000
                            + "\r\nIdempotency-Key: warm\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
            link.scheduleWrite();
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            try {
                while (in.size() > 0) {
                    reader.read(in);
                }
            } catch (MessageRejectedException e) {
                link.close(CloseReason.BAD_INPUT);
            }
        }

        @Override
        public void messageEnded() {
            if (++answered == LOOKUPS) {
                end();
            } else {
                ask();
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            if (--askers == 0) {
                end();
            }
        }
    }
}
