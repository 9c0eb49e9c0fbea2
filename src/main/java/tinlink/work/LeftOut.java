package tinlink.work;

import tinlink.net.Loop;
import tinlink.cluster.membership.LineCodec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Which data nodes this router leaves out, on its disk. Danger: started again, and with nobody to
 * ask, it would send to machines that are out by its own word. So what it leaves out is written
 * down before it says that it is done there, and is left out from its first breath until it knows
 * better. The disk has a thread of its own.
 */
final class LeftOut {
    private static final Logger LOG = Logger.getLogger("tinlink.work");
    private final Loop loop;
    private final Path file;
    private final ExecutorService disk;
    private final Set<String> now = new TreeSet<>();
    /** What is on the disk; the loop's copy of it. */
    private Set<String> written;

    private boolean writes;

    /** @throws IOException where what is there can't be read */
    LeftOut(Loop loop, Path folder) throws IOException {
        this.loop = loop;
        file = folder.resolve("left-out");
        written = Files.exists(file)
                ? new TreeSet<>(LineCodec.decode(Files.readString(file)))
                : new TreeSet<>();
        written.remove("");
        disk = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "left-out");
            t.setDaemon(true);
            return t;
        });
    }

    /** As it was found at the start. */
    Set<String> before() {
        return Set.copyOf(written);
    }

    /** Whether it would still be left out after a stop at any moment from now on. */
    boolean isKept(String machine) {
        return written.contains(machine);
    }

    void leaveOut(String machine, boolean out) {
        if (out) {
            now.add(machine);
        } else {
            now.remove(machine);
        }
        write();
    }

    /** One write at a time; what has changed meanwhile follows. */
    private void write() {
        if (writes || now.equals(written)) {
            return;
        }
        writes = true;
        Set<String> some = new TreeSet<>(now);
        disk.execute(() -> {
            try {
                keep(LineCodec.encode(some.toArray()));
                loop.ready(() -> {
                    written = some;
                    writes = false;
                    write();
                });
            } catch (IOException e) {
                // It goes on saying that it is not done there: nobody is told "out" on the strength
                // of it.
                LOG.log(Level.SEVERE, "event=left_out_not_written", e);
            }
        });
    }

    private void keep(String text) throws IOException {
        Path beside = file.resolveSibling("left-out.new");
        try (FileChannel c = FileChannel.open(
                beside,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (b.hasRemaining()) {
                c.write(b);
            }
            c.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    void close() {
        disk.shutdown();
    }
}
