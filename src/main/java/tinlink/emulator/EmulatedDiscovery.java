package tinlink.emulator;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.HttpReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.net.ProtocolLimits;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery of one site: tells each watch the whole list, then what changes, and an empty line
 * while nothing does.
 */
public final class EmulatedDiscovery {
    private final EmulatorLoop emulatorLoop;
    private final Network.ListeningSocket listening;
    private final Set<Watch> watches = new HashSet<>();
    /** By uid, the fields of each entry as they were last told. */
    private final Map<String, String> entries = new LinkedHashMap<>();

    private long revision = 1;
    /** Bytes of all answers and lines, heads not counted. */
    private long bytesSent;

    /**
     * Listens at a free port.
     *
     * @throws IOException where it can't listen
     */
    public EmulatedDiscovery(EmulatorLoop emulatorLoop) throws IOException {
        this.emulatorLoop = emulatorLoop;
        listening = emulatorLoop.listen(EmulatorLoop.loopback(0), Watch::new);
    }

    public InetSocketAddress address() throws IOException {
        return listening.address();
    }

    /**
     * Tells the state of a node at its own address.
     *
     * @param state in_service, terminating or terminated
     */
    public void publish(EmulatedNode n, String zone, String state) {
        publish(n, n.address(), zone, state);
    }

    /**
     * Tells the state of a node at some address.
     *
     * @param at where the node is reached by whoever is told
     */
    public void publish(EmulatedNode n, InetSocketAddress at, String zone, String state) {
        publish(n.uid, n.cell, at, zone, state);
    }

    /**
     * Tells all watches of a node.
     *
     * @param at where the node is reached by whoever is told
     * @param state in_service, terminating or terminated
     */
    public void publish(String uid, int cell, InetSocketAddress at, String zone, String state) {
        emulatorLoop.run(() -> {
            String entry = "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + at.getPort()
                    + "\",\"az\":\"" + zone + "\",\"model\":\"m\",\"pod_group\":" + cell
                    + ",\"state\":\""
                    + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
            if (state.equals("terminated")) {
                entries.remove(uid);
            } else {
                entries.put(uid, entry);
            }
            revision++;
            watches.forEach(w -> w.sendLine(message(false, List.of(entry))));
        });
    }

    /** Length of the whole list as it is told now, in bytes. */
    public long listBytes() {
        return emulatorLoop.call(() ->
                (long) message(true, entries.values()).getBytes(StandardCharsets.UTF_8).length);
    }

    /** Watches that are open now. */
    public int watches() {
        return emulatorLoop.call(watches::size);
    }

    /** Bytes of all answers and lines so far, to all watches; heads of answers are not counted. */
    public long bytesSent() {
        return emulatorLoop.call(() -> bytesSent);
    }

    private String message(boolean all, Iterable<String> some) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", some) + "]}";
    }

    private final class Watch
            implements EmulatorLoop.ConnectionHandler, HttpReader.MessageListener {
        private final HttpReader reader = HttpReader.forRequests(this);
        private Connection link;
        /** Else the whole list is wanted, once. */
        private boolean streaming;

        @Override
        public void connectionAccepted(Connection link) {
            this.link = link;
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            try {
                while (in.size() > 0) {
                    reader.read(in);
                }
            } catch (MessageRejectedException e) {
                link.close(CloseReason.PROTOCOL_ERROR);
            }
        }

        @Override
        public void startLine(String method, String target, String version) {
            streaming = target.contains("watch=1");
        }

        @Override
        public void messageEnded() {
            if (!streaming) {
                byte[] whole = message(true, entries.values()).getBytes(StandardCharsets.UTF_8);
                link.out()
                        .put("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length + "\r\n\r\n")
                        .put(whole);
                bytesSent += whole.length;
                link.scheduleWrite();
                return;
            }
            link.out().put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendLine(message(true, entries.values()));
            watches.add(this);
            scheduleKeepAlive();
        }

        private void scheduleKeepAlive() {
            emulatorLoop.schedule(emulatorLoop.now() + ProtocolLimits.WATCH_KEEPALIVE_US, () -> {
                if (watches.contains(this)) {
                    sendLine("");
                    scheduleKeepAlive();
                }
            });
        }

        void sendLine(String text) {
            byte[] b = (text + "\n").getBytes(StandardCharsets.UTF_8);
            String size = Integer.toHexString(b.length) + "\r\n";
            link.out().put(size).put(b).put("\r\n");
            bytesSent += size.length() + b.length + 2;
            link.scheduleWrite();
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            watches.remove(this);
        }
    }
}
