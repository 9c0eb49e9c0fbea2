import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** The discovery agent of one router: a whole list, and a watch that stays open. */
final class Discovery {
    final ServerSocket server;
    private final String router;
    /** By node, its state; what a whole list leaves out is not in it. */
    private final Map<DataNode, String> states = new LinkedHashMap<>();
    private final Set<Socket> watches = Collections.synchronizedSet(new HashSet<>());
    private long rev = 1;
    /** Whether whole lists leave out nodes that drain (STANDING.md, join and herd). */
    volatile boolean leavesOutDraining;

    Discovery(String router, List<DataNode> nodes) throws IOException {
        this.router = router;
        nodes.forEach(node -> states.put(node, "in_service"));
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Kit.thread(() -> {
            while (true) {
                Socket socket = server.accept();
                Kit.thread(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized String wholeList() {
        return "{\"rev\":" + rev + ",\"all\":true,\"targets\":["
                + states.entrySet().stream()
                        .filter(e -> !leavesOutDraining || !e.getValue().equals("terminating"))
                        .map(e -> e.getKey().entry(e.getValue()))
                        .collect(Collectors.joining(","))
                + "]}";
    }

    /** Tells a change on all open watches. */
    synchronized void change(DataNode node, String state) {
        rev++;
        if (state.equals("terminated")) {
            states.remove(node);
        } else {
            states.put(node, state);
        }
        Kit.record("discovery of " + router + ": " + node.uid + " is " + state);
        String line = "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + node.entry(state) + "]}\n";
        for (Socket watch : List.copyOf(watches)) {
            chunk(watch, line);
        }
    }

    /** Resets all open watches. */
    void resetWatches() throws IOException {
        for (Socket watch : List.copyOf(watches)) {
            watches.remove(watch);
            watch.setSoLinger(true, 0);
            watch.close();
        }
        Kit.record("discovery of " + router + ": watches reset");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String start = in.readLine();
            for (String line = start; line != null && !line.isEmpty(); ) {
                line = in.readLine();
            }
            if (start == null) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            if (!start.contains("watch=1")) {
                byte[] body = wholeList().getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                                + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                out.write(body);
                return;
            }
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            synchronized (this) {
                Kit.record("discovery of " + router + ": a watch opens, told the whole list");
                chunk(socket, wholeList() + "\n");
                watches.add(socket);
            }
            while (watches.contains(socket)) {
                Thread.sleep(2000);
                if (watches.contains(socket)) {
                    chunk(socket, "\n");
                }
            }
        }
    }

    private void chunk(Socket socket, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            synchronized (socket) {
                OutputStream out = socket.getOutputStream();
                out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            watches.remove(socket);
        }
    }
}
