import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * What is between two processes. A cut link says nothing: open connections stay open and silent, new ones are
 * never answered. What was written into a cut comes after its end.
 */
final class Link {
    final ServerSocket server;
    private final int targetPort;
    private boolean cut;
    /** What it carries in each direction, bytes a millisecond; 0: as much as comes. */
    volatile int bytesPerMs;
    /** How much is on its way towards the caller at a time; 0: as the system has it. */
    volatile int inFlightBytes;

    Link(int targetPort) throws IOException {
        this.targetPort = targetPort;
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Kit.thread(() -> {
            while (true) {
                Socket from = server.accept();
                Kit.thread(() -> connect(from));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void setCut(boolean cut) {
        this.cut = cut;
        notifyAll();
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void connect(Socket from) throws Exception {
        awaitOpen();
        Socket to;
        try {
            to = new Socket();
            if (inFlightBytes > 0) {
                to.setReceiveBufferSize(inFlightBytes);
            }
            to.connect(new java.net.InetSocketAddress("127.0.0.1", targetPort));
        } catch (IOException e) {
            from.close();
            return;
        }
        from.setTcpNoDelay(true);
        to.setTcpNoDelay(true);
        Kit.thread(() -> pump(from, to));
        Kit.thread(() -> pump(to, from));
    }

    private void pump(Socket from, Socket to) throws Exception {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[1 << 14];
            long dueNs = System.nanoTime();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                awaitOpen();
                if (bytesPerMs > 0) {
                    dueNs = Math.max(dueNs, System.nanoTime()) + 1_000_000L * n / bytesPerMs;
                    Thread.sleep(Math.max(0, (dueNs - System.nanoTime()) / 1_000_000));
                }
                out.write(bytes, 0, n);
                out.flush();
            }
        } finally {
            awaitOpen();
            from.close();
            to.close();
        }
    }
}
