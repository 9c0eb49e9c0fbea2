package tinlink.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import tinlink.decision.Index;
import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.net.HttpReader;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Network;
import tinlink.net.Ring;
import tinlink.start.RouterStart;

/**
 * Plays lookups before the router is ready: all stages run, with a module of their own, against clients and
 * data nodes that are this process itself, at the address where it will serve. Danger: on part of a core
 * the code of a JVM that has just started is so slow that the first clients' time is over before they are
 * read.
 */
final class Warmup implements Network.Door {
    /**
     * What a first run costs, loading and linking, is over with the first few; each more makes a restart
     * longer.
     */
    private static final int LOOKUPS = 24;
    private static final int ASKERS = 4;
    private static final int MOST_PARTS = 5;
    private final RouterStart start;
    private final Loop loop = new Loop();
    private final Network network = new Network(loop);
    private final Intake intake;
    private final List<Map.Entry<String, Index>> indexes;
    private int asked;
    private int answered;
    private int askers;

    /** @param start read for this alone, since its module is used up */
    Warmup(RouterStart start) throws IOException {
        this.start = start;
        indexes = List.copyOf(start.lookups.indexes().entrySet());
        Stages stages = new Stages(loop, network, start, start.built.module);
        intake = stages.intake;
        intake.notReady();
        stages.turn.serves(stages.sends, () -> { }); // Its list is its own; discovery is not asked.
        try {
            network.listen(start.listen);
            stages.turn.begins(loop.now());
            stages.roster.known(list(network.address()));
            network.accept(this);
            for (int i = 0; i < ASKERS; i++) {
                Asker a = new Asker();
                a.link = network.connect(network.address(), a);
                askers++;
            }
            loop.at(loop.now() + start.longestUs, loop::end);
            loop.run(stages.turn);
        } finally {
            network.close();
        }
    }

    int answered() {
        return answered;
    }

    /** A data node for each shard, at our own address. */
    private Map<?, ?> list(InetSocketAddress at) {
        String endpoint = at.getAddress().getHostAddress() + ":" + at.getPort();
        return Map.of("rev", 0.0, "targets", IntStream.range(0, start.lookups.shards()).mapToObj(i ->
                Map.of("uid", "warm" + i, "endpoint", endpoint, "pod_group", (double) i,
                        "state", "in_service")).toList());
    }

    // ---- The door. ----

    @Override
    public Link.Owner owner() {
        return new Caller();
    }

    @Override
    public void opened(Link link, Link.Owner owner) {
        ((Caller) owner).link = link;
    }

    @Override
    public boolean mayOpen() {
        return intake.mayOpen();
    }

    @Override
    public void acceptFailed(Throwable why) {
        loop.end();
    }

    /** Whoever connects: a frame's length begins with a zero byte, a request does not. */
    private final class Caller implements Link.Owner {
        private Link link;
        private Link.Owner as;

        @Override
        public void arrived(Ring in) {
            if (as == null && in.size() > 0) {
                if (in.peek() == 0) {
                    as = new Answerer(link);
                } else {
                    as = intake.owner();
                    intake.opened(link, as);
                }
            }
            if (as != null) {
                as.arrived(in);
            }
        }

        @Override
        public void idle() {
            if (as != null) {
                as.idle();
            }
        }

        @Override
        public void ended(Ending how) {
            if (as != null) {
                as.ended(how);
            }
        }
    }

    /** A data node: answers each part, now and then with an error or by turning it away. */
    private static final class Answerer implements Link.Owner {
        private final Link link;
        private final byte[] length = new byte[4];
        private int head;
        private ByteBuffer frame;
        private int parts;

        Answerer(Link link) {
            this.link = link;
        }

        @Override
        public void arrived(Ring in) {
            while (in.size() > 0) {
                if (head < length.length) {
                    length[head++] = in.take();
                    frame = head < length.length ? null
                            : ByteBuffer.allocate(ByteBuffer.wrap(length).getInt());
                } else {
                    frame.put(in.takeRun(frame.remaining()));
                    if (!frame.hasRemaining()) {
                        head = 0;
                        answer(new String(frame.array(), StandardCharsets.UTF_8));
                    }
                }
            }
        }

        private void answer(String whole) {
            for (int at = 1; whole.charAt(0) == 'R' && at < whole.length(); parts++) {
                int lf = whole.indexOf('\n', at);
                String[] words = whole.substring(at, lf).split(" ");
                at = lf + 1 + Integer.parseInt(words[3]);
                String end = parts % 32 == 30 ? "ERROR" : parts % 32 == 14 ? "REJECTED" : "OK";
                byte[] y = ("Y" + words[0] + " " + end + " 1 -\n" + words[0])
                        .getBytes(StandardCharsets.UTF_8);
                link.out().put(ByteBuffer.allocate(4).putInt(y.length).array()).put(y);
            }
            link.later();
        }

        @Override
        public void ended(Ending how) {
            // Nothing is kept of it.
        }
    }

    /** A client that asks again as soon as it is answered; whatever the answer is, it has run the code. */
    private final class Asker implements Link.Owner, HttpReader.Sink {
        private final HttpReader reader = HttpReader.ofAnswers(this);
        private Link link;

        @Override
        public void up() {
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
            link.out().put("POST /api HTTP/1.1\r\nHost: warm\r\nX-Call-Id: warm" + asked++
                    + "\r\nX-Call-Class: "
                    + index.getKey() + "\r\nX-Budget-Ms: " + index.getValue().hardUs / 1000
                    + "\r\nIdempotency-Key: warm\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            link.later();
        }

        @Override
        public void arrived(Ring in) {
            try {
                while (in.size() > 0) {
                    reader.read(in);
                }
            } catch (BadMessage e) {
                link.end(Ending.BAD_INPUT);
            }
        }

        @Override
        public void over() {
            if (++answered == LOOKUPS) {
                loop.end();
            } else {
                ask();
            }
        }

        @Override
        public void ended(Ending how) {
            if (--askers == 0) {
                loop.end();
            }
        }
    }
}
