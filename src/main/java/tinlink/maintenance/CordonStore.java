package tinlink.maintenance;

import tinlink.cluster.consensus.LineCodec;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;

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

/**
 * Which data nodes this router leaves out, on its disk. Danger: started again, and with nobody to
 * ask, it would send to machines that are out by its own word. So what it leaves out is written
 * down before it says that it is done there, and is left out from its first breath until it knows
 * better. The disk has a thread of its own.
 */
final class CordonStore {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private final EventLoop loop;
    private final Path file;
    private final ExecutorService diskExecutor;
    private final Set<String> cordoned = new TreeSet<>();
    /** What is on the disk; the loop's copy of it. */
    private Set<String> persisted;

    private boolean writeInProgress;

    /** @throws IOException where what is there can't be read */
    CordonStore(EventLoop loop, Path folder) throws IOException {
        this.loop = loop;
        file = folder.resolve("left-out");
        persisted = Files.exists(file)
                ? new TreeSet<>(LineCodec.decode(Files.readString(file)))
                : new TreeSet<>();
        persisted.remove("");
        diskExecutor = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "left-out");
            t.setDaemon(true);
            return t;
        });
    }

    /** As it was found at the start. */
    Set<String> restored() {
        return Set.copyOf(persisted);
    }

    /** Whether it would still be left out after a stop at any moment from now on. */
    boolean isPersisted(String machine) {
        return persisted.contains(machine);
    }

    void setCordoned(String machine, boolean isCordoned) {
        if (isCordoned) {
            cordoned.add(machine);
        } else {
            cordoned.remove(machine);
        }
        writeIfChanged();
    }

    /** One write at a time; what has changed meanwhile follows. */
    private void writeIfChanged() {
        if (writeInProgress || cordoned.equals(persisted)) {
            return;
        }
        writeInProgress = true;
        Set<String> snapshot = new TreeSet<>(cordoned);
        diskExecutor.execute(() -> {
            try {
                writeFile(LineCodec.encode(snapshot.toArray()));
                loop.execute(() -> {
                    persisted = snapshot;
                    writeInProgress = false;
                    writeIfChanged();
                });
            } catch (IOException e) {
                // It goes on saying that it is not done there: nobody is told "out" on the strength
                // of it.
                LOG.logFailure(Level.SEVERE, "cordons_not_persisted", e);
            }
        });
    }

    private void writeFile(String text) throws IOException {
        Path temporaryFile = file.resolveSibling("left-out.new");
        try (FileChannel channel = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    void close() {
        diskExecutor.shutdown();
    }
}
