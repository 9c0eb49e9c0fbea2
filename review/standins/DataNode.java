import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A data node by the protocol page: frames over TCP, each part runs at once, takes a fixed time
 * and is answered OK. Each router reaches it at an address of its own ("each query router may see a
 * different endpoint"), so the node knows which router has sent a part.
 */
final class DataNode {
    /** A part call whose last byte has arrived. */
    record Run(long atMs, String node, String router, String id) {}

    final String uid;
    final int cell;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final long workMs;
    private final Record record;
    private final Map<String, ServerSocket> listeners = new LinkedHashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService work =
            Executors.newScheduledThreadPool(2, Threads::daemon);

    DataNode(String uid, int cell, long workMs, Record record, List<String> routers)
            throws IOException {
        this.uid = uid;
        this.cell = cell;
        this.workMs = workMs;
        this.record = record;
        for (String router : routers) {
            ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            listeners.put(router, listener);
            Threads.start(() -> accept(router, listener));
        }
    }

    /** Where that router reaches this node. */
    String addressFor(String router) {
        return "127.0.0.1:" + listeners.get(router).getLocalPort();
    }

    /** Its process is gone: connections break, new ones are refused. */
    void die() throws IOException {
        for (ServerSocket listener : listeners.values()) {
            listener.close();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept(String router, ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Threads.start(() -> serve(router, socket));
            }
        } catch (IOException e) {
            // The listener is closed with the process.
        }
    }

    private void serve(String router, Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'R' -> parts(router, frame, out);
                    case 'G' -> write(out, "GOK");
                    case 'T' -> write(out, "T-");
                    default -> {} // 'A': what runs goes on, as a site may have it.
                }
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    /** For each part a line "ID SHARD LIST LENGTH", then so many bytes. */
    private void parts(String router, byte[] frame, DataOutputStream out) {
        int at = 1;
        while (at < frame.length) {
            int end = at;
            while (frame[end] != '\n') {
                end++;
            }
            String[] line = new String(frame, at, end - at, StandardCharsets.UTF_8).split(" ");
            at = end + 1 + Integer.parseInt(line[3]);
            runs.add(new Run(System.currentTimeMillis(), uid, router, line[0]));
            record.line("run node=" + uid + " router=" + router + " part=" + line[0]);
            work.schedule(
                    () -> write(out, "Y" + line[0] + " OK 1 -\n" + value(line[0])),
                    workMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The value that this part has at every node. */
    static String value(String partId) {
        return "v" + Integer.toHexString(partId.hashCode());
    }

    private static void write(DataOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        synchronized (out) {
            try {
                out.writeInt(bytes.length);
                out.write(bytes);
                out.flush();
            } catch (IOException e) {
                // Nobody waits for the answer any more.
            }
        }
    }
}
