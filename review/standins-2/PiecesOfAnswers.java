import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Answers that come in pieces, each whole in time: the router closes their connection. */
public final class PiecesOfAnswers {
    private static final int LOOKUPS = 60;
    private static final long CONNECT_TIMEOUT_MS = 250;

    public static void main(String[] args) throws Exception {
        Kit.run(Path.of(args[0]), PiecesOfAnswers::body);
    }

    private static String body() throws Exception {
        DataNode node = new DataNode("n1", 0, "z1", text -> 20);
        Kit.Router router = new Kit.Router("r1", new Discovery("r1", List.of(node)),
                Kit.settings(1, 1, 1500, 3000, 0));
        router.start();
        router.awaitReady();
        router.lookup("first", "once", 3000, null, "x", 0);
        node.padding = 20_000;
        node.bytesPerMs = 2000;
        node.pieceBytes = Kit.TROUBLE ? 4096 : 0;
        List<Kit.Response> responses = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < LOOKUPS; i++) {
            String id = "q" + i;
            clients.add(Kit.thread(() -> {
                Kit.Response response = router.lookup(id, "once", 3000, null, "x", 0);
                synchronized (responses) {
                    responses.add(response);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        for (String line : router.logText().split("\n")) {
            if (line.contains("node_connection_closed")) {
                Kit.record("r1: " + line);
            }
        }
        long ran = node.runs.stream().filter(r -> r.id.startsWith("q")).count();
        long lost = responses.stream().filter(r -> r.status == 504).count();
        Kit.record(ran + " parts ran at n1; no answer took longer than " + node.longestAnswerMs
                + " ms from its first byte to its last; " + lost + " lookups ended with 504");
        if (node.longestAnswerMs >= CONNECT_TIMEOUT_MS) {
            throw new Kit.CannotRun("an answer took as long as the connect time-out");
        }
        return lost == 0
                ? ""
                : lost + " of " + LOOKUPS + " once-only lookups ended with 504: their connection was closed "
                        + "while their answers came";
    }
}
