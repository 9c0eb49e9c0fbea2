import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, a line each, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startedMs = System.currentTimeMillis();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.currentTimeMillis() - startedMs) / 1000.0, text);
        out.flush();
    }

    /** To the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
