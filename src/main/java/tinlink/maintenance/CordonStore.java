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
 * Persists the set of data nodes that this router cordons. Without it, a router that restarts while no other
 * router is reachable would send attempts to machines that are out of service on the strength of its own
 * confirmation. A cordon is therefore written to disk before this router confirms that the node is drained,
 * and applies from the next start until the router learns the current state. Not thread-safe: all calls come
 * from the event loop's thread. Writes run on a separate thread.
 */
final class CordonStore {
    private static final EventLog LOG = new EventLog("tinlink.maintenance");
    private final EventLoop loop;
    private final CordonFile file;
    private final ExecutorService diskExecutor;
    private final Set<String> cordoned = new TreeSet<>();
    /** The cordons of the last write that the event loop knows to be on disk. */
    private Set<String> persisted;

    private boolean writeInProgress;

    /** @throws IOException if an existing cordon file can't be read */
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

    /** The cordons that are on disk; at startup, those of the previous run. */
    Set<String> restored() {
        return Set.copyOf(persisted);
    }

    /** Whether the cordon is on disk, so that the node stays cordoned if this router restarts. */
    boolean isPersisted(String machine) {
        return persisted.contains(machine);
    }

    void setCordoned(String machine, boolean nodeCordoned) {
        if (nodeCordoned) {
            cordoned.add(machine);
        } else {
            cordoned.remove(machine);
        }
        writeIfChanged();
    }

    /** Starts a write unless one is running; changes made during a write are written after it. */
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
                // The drain is never confirmed, so no operator takes the machine out of service.
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
