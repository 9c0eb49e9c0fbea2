package tinlink.emulator;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.HttpReader;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.function.Consumer;

/**
 * Clients of one router over HTTP/1.1: keep connections, one request at a time on each, open more
 * when all are busy.
 */
public final class EmulatedClient {
    /**
     * What a client asks for.
     *
     * @param key null where the index needs none
     */
    public record LookupRequest(
            String id,
            String index,
            long budgetMs,
            List<Integer> shards,
            String text,
            String key) {}

    /**
     * What a client was answered.
     *
     * @param status 0 where the connection ended without a whole answer
     * @param retryAfterUs 0 where it has no Retry-After
     */
    public record LookupResponse(int status, String body, long atUs, long retryAfterUs) {
        /** The values by shard; empty where there are none. */
        public java.util.Map<Integer, String> values() {
            java.util.Map<Integer, String> all = new java.util.TreeMap<>();
            try {
                if (status == 200
                        && JsonReader.parse(body) instanceof java.util.Map<?, ?> map
                        && map.get("matches") instanceof List<?> list) {
                    for (Object one : list) {
                        java.util.Map<?, ?> m = (java.util.Map<?, ?>) one;
                        all.put(((Double) m.get("segment")).intValue(), (String) m.get("payload"));
                    }
                }
            } catch (MessageRejectedException e) {
                all.put(-1, "unreadable");
            }
            return all;
        }

        public boolean isComplete() {
            return status == 200 && body.startsWith("{\"all_in\":true");
        }
    }

    private final EmulatorLoop emulatorLoop;
    private InetSocketAddress router;
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
    /** Bytes or answers that came when nothing was asked. */
    private int unsolicited;

    public EmulatedClient(EmulatorLoop emulatorLoop, InetSocketAddress router) {
        this.emulatorLoop = emulatorLoop;
        this.router = router;
    }

    /** Asks there from now on. */
    public void connectTo(InetSocketAddress where) {
        emulatorLoop.run(() -> {
            router = where;
            List.copyOf(idle).forEach(c -> c.link.close(CloseReason.COMPLETED));
        });
    }

    public int unsolicited() {
        return emulatorLoop.call(() -> unsolicited);
    }

    /** Whoever asked may leave: the connection is closed. */
    public interface PendingLookup {
        void abandon();
    }

    /**
     * Sends a lookup.
     *
     * @param listener of the end, once, on the emulator's thread; never after the asker has left
     */
    public PendingLookup send(LookupRequest a, Consumer<LookupResponse> listener) {
        return emulatorLoop.call(() -> {
            HttpConnection c = idle.poll();
            if (c == null) {
                c = new HttpConnection();
                try {
                    c.link = emulatorLoop.network.connect(router, c);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
            c.send(a, listener);
            HttpConnection at = c;
            return () -> emulatorLoop.run(() -> {
                if (at.listener == listener) {
                    at.listener = null;
                    at.link.close(CloseReason.COMPLETED);
                }
            });
        });
    }

    private final class HttpConnection implements Connection.Listener, HttpReader.MessageListener {
        private final HttpReader reader = HttpReader.forResponses(this);
        private Connection link;
        private Consumer<LookupResponse> listener;
        private int status;
        private long retryAfterUs;
        private boolean closes;
        private final StringBuilder body = new StringBuilder();

        void send(LookupRequest a, Consumer<LookupResponse> listener) {
            this.listener = listener;
            StringJoiner parts = new StringJoiner(",");
            for (int s : a.shards()) {
                parts.add("{\"segment\":" + s + ",\"boost\":" + 1.0 / a.shards().size() + "}");
            }
            byte[] b = ("{\"segments\":[" + parts + "],\"text\":\"" + a.text() + "\"}")
                    .getBytes(StandardCharsets.UTF_8);
            link.out()
                    .put("POST /api HTTP/1.1\r\nHost: tinlink\r\nX-Call-Id: " + a.id()
                            + "\r\nX-Call-Class: "
                            + a.index() + "\r\nX-Budget-Ms: " + a.budgetMs() + "\r\n"
                            + (a.key() == null ? "" : "Idempotency-Key: " + a.key() + "\r\n")
                            + "Content-Length: " + b.length + "\r\n\r\n")
                    .put(b);
            link.scheduleWrite();
        }

        @Override
        public void connected() {
            link.scheduleWrite();
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            try {
                while (in.size() > 0) {
                    unsolicited += listener == null ? 1 : 0;
                    reader.read(in);
                }
            } catch (MessageRejectedException e) {
                link.close(CloseReason.PROTOCOL_ERROR);
            }
        }

        @Override
        public void startLine(String version, String status, String words) {
            this.status = Integer.parseInt(status);
            retryAfterUs = 0;
            closes = false;
            body.setLength(0);
        }

        @Override
        public void header(String name, String value) {
            if (name.toLowerCase(Locale.ROOT).equals("retry-after")) {
                retryAfterUs = Math.round(1e6 * Double.parseDouble(value));
            }
            closes |= name.toLowerCase(Locale.ROOT).equals("connection") && value.contains("close");
        }

        @Override
        public void body(ByteBuffer piece) {
            body.append(StandardCharsets.UTF_8.decode(piece));
        }

        @Override
        public void messageEnded() {
            deliver(new LookupResponse(
                    status, body.toString().strip(), emulatorLoop.now(), retryAfterUs));
            if (closes) {
                link.close(CloseReason.COMPLETED);
            } else if (!link.isClosed()) {
                idle.add(this);
            }
        }

        private void deliver(LookupResponse response) {
            Consumer<LookupResponse> who = listener;
            listener = null;
            if (who != null) {
                who.accept(response);
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            idle.remove(this);
            deliver(new LookupResponse(0, closeReason.name(), emulatorLoop.now(), 0));
        }
    }
}
