package tinlink.maintenance;

import tinlink.net.EventLog;
import tinlink.net.EventLoop;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Level;

/**
 * Which data nodes this router cordons, persisted. Danger: started again, and with nobody to ask, it would
 * send to machines that are out by its own confirmation. So a cordon is written to disk before this router
 * confirms that the node is drained, and holds from its next start on until it knows better. Belongs to the
 * event loop's thread; writes have a thread of their own.
 */
final class CordonStore {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private final EventLoop loop;
    private final CordonFile file;
    private final ExecutorService diskExecutor;
    private final Set<String> cordoned = new TreeSet<>();
    /** What is on the disk, as far as the loop has heard. */
    private Set<String> persisted;

    private boolean writeInProgress;

    /** @throws IOException where what is there can't be read */
    CordonStore(EventLoop loop, Path folder) throws IOException {
        this.loop = loop;
        file = new CordonFile(folder);
        persisted = file.read();
        diskExecutor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "cordon-store");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** As they were found at the start. */
    Set<String> restored() {
        return Set.copyOf(persisted);
    }

    /** Whether the node would still be cordoned after a stop at any moment from now on. */
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
                file.write(snapshot);
                loop.execute(() -> onWritten(snapshot));
            } catch (IOException e) {
                // The cordon is never confirmed: no operator takes a machine on the strength of it.
                LOG.logFailure(Level.SEVERE, "cordons_not_persisted", e);
            }
        });
    }

    private void onWritten(Set<String> snapshot) {
        persisted = snapshot;
        writeInProgress = false;
        writeIfChanged();
    }

    void close() {
        diskExecutor.shutdown();
    }
}
