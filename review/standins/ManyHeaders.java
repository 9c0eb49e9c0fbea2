import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send bodies of nested JSON, all at once, and stop in the middle of them. */
final class ManyHeaders {
    private static final int BAD_CLIENTS = 400;
    /** Within the 64 KiB that a body may have. */
    private static final int BODY_BYTES = 65_000;

    private ManyHeaders() {}

    public static void main(String[] args) {
        Case.main(args, ManyHeaders::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        RouterProcess r1 = deployment.router("r1");
        List<DataNode> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(new DataNode("n" + i, i % 2, 150, record, List.of("r1")));
        }
        deployment.config(r1, nodes, "pushed");
        r1.start();
        if (!r1.awaitReady(20_000)) {
            record.say("not run: r1 is not ready\n" + r1.log());
            return Case.NOT_RUN;
        }
        Client client = new Client(r1.listen, record);
        Thread load = client.load("once", 1, 50);
        Thread.sleep(3000);
        if (client.answers.isEmpty()
                || client.answers.stream().anyMatch(answer -> answer.status() != 200)) {
            record.say("not run: the usual clients are not served");
            return Case.NOT_RUN;
        }
        AtomicInteger answered = new AtomicInteger();
        if (trouble) {
            record.line(
                    BAD_CLIENTS + " bad clients send " + BODY_BYTES + " bytes each but the last");
            byte[] request = request();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Threads.start(() -> sendHalf(r1.listen, request, answered));
            }
        }
        Thread.sleep(6000);
        load.interrupt();
        Thread.sleep(Client.BUDGET_MS + 1000);
        boolean crashed = !r1.isAlive();
        long lost =
                client.answers.stream().filter(answer -> answer.status() <= 0).count();
        record.line("log of r1:\n" + r1.log());
        record.say("r1 " + (crashed ? "has ended with " + r1.exitStatus() : "runs")
                + ", ready: " + r1.ready()
                + "; bad clients that were answered or closed: " + answered
                + "; usual lookups: " + client.answers.size() + ", never answered: " + lost);
        return crashed || lost > 0 ? Case.BROKEN : Case.HELD;
    }

    /** The head of a lookup, and all of its body but the end. */
    private static byte[] request() {
        StringBuilder head = new StringBuilder("POST /api HTTP/1.1\r\nHost: api.internal\r\n");
        for (int i = 0; head.length() < 16_000; i++) {
            head.append(Integer.toString(i, 36)).append(":\r\n");
        }
        return head.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void sendHalf(String address, byte[] request, AtomicInteger answered) {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(6000);
            OutputStream out = socket.getOutputStream();
            out.write(request);
            out.flush();
            InputStream in = socket.getInputStream();
            while (in.read() >= 0) {
                // It reads whatever it is sent, and stays until it is closed.
            }
            answered.incrementAndGet();
        } catch (IOException e) {
            answered.incrementAndGet(); // Its connection is broken.
        }
    }
}
