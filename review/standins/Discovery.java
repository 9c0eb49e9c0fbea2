import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Discovery as one router sees it, by the protocol page: the whole list, and a watch that begins
 * with the whole list, tells what changes and sends an empty line every 2 s. While it is down its
 * agent takes connections and stays silent.
 */
final class Discovery {
    private final ServerSocket listener;
    /** By uid, the entry as it is told. */
    private final Map<String, String> entries = new LinkedHashMap<>();

    private int revision = 1;
    private volatile boolean down;

    Discovery() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on, or until now, it is down: the agent is silent. */
    synchronized void down(boolean now) {
        down = now;
        notifyAll();
    }

    /** Tells a node's state: in_service, terminating or terminated. */
    synchronized void tell(String uid, String endpoint, String zone, int cell, String state) {
        entries.put(
                uid,
                "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone
                        + "\",\"model\":\"m\",\"pod_group\":" + cell + ",\"state\":\"" + state
                        + "\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        revision++;
        notifyAll();
    }

    /** The list without what is gone, as "known" of a configuration file has it too. */
    synchronized String list() {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":["
                + entries.values().stream()
                        .filter(entry -> !entry.contains("\"terminated\""))
                        .collect(Collectors.joining(","))
                + "]}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener is closed with the process.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            OutputStream out = socket.getOutputStream();
            while (true) {
                String request = in.readLine();
                if (request == null) {
                    return;
                }
                for (String header = request; header != null && !header.isEmpty(); ) {
                    header = in.readLine();
                }
                awaitUp();
                if (request.contains("watch=1")) {
                    watch(out);
                } else {
                    String list = list();
                    write(
                            out,
                            "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n"
                                    + list);
                }
            }
        } catch (IOException | InterruptedException e) {
            // The router has closed the connection.
        }
    }

    private synchronized void awaitUp() throws InterruptedException {
        while (down) {
            wait();
        }
    }

    private void watch(OutputStream out) throws IOException, InterruptedException {
        write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Map<String, String> told;
        synchronized (this) {
            told = new LinkedHashMap<>(entries);
            chunk(out, list());
        }
        while (true) {
            Map<String, String> changed = new LinkedHashMap<>();
            synchronized (this) {
                if (told.equals(entries)) {
                    wait(2000);
                }
                awaitUp();
                entries.forEach((uid, entry) -> {
                    if (!entry.equals(told.get(uid))) {
                        changed.put(uid, entry);
                    }
                });
                told.putAll(changed);
                chunk(
                        out,
                        changed.isEmpty()
                                ? ""
                                : "{\"rev\":" + revision + ",\"all\":false,\"targets\":["
                                        + String.join(",", changed.values()) + "]}");
            }
        }
    }

    private static void chunk(OutputStream out, String line) throws IOException {
        write(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
