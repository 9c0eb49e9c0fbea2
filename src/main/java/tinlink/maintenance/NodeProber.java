package tinlink.maintenance;

import tinlink.maintenance.scheduling.MachineFailureDetector;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.EventLoop;
import tinlink.net.Network;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;

/**
 * Probes data nodes. A probe succeeds if a connection to the node is established and then stays open for a
 * quarter of the probe interval, because a proxy may accept a connection for a node that is gone and close it
 * a moment later. Not thread-safe: all calls come from the event loop's thread.
 */
final class NodeProber implements MachineFailureDetector.Prober {
    /** Receives the result of each probe. */
    interface ResultListener {
        void onProbeResult(String machine, boolean answered);
    }

    private final EventLoop loop;
    private final Network network;
    private final long intervalUs;
    private final ResultListener listener;
    /** The addresses of the data nodes on this router's list, by id. */
    private Map<String, InetSocketAddress> addresses = Map.of();

    /** @param intervalUs the interval between two probes of one node, microseconds; a probe ends before it */
    NodeProber(EventLoop loop, Network network, long intervalUs, ResultListener listener) {
        this.loop = loop;
        this.network = network;
        this.intervalUs = intervalUs;
        this.listener = listener;
    }

    /** Replaces the addresses of all data nodes. */
    void setAddresses(Map<String, InetSocketAddress> byNode) {
        addresses = new TreeMap<>(byNode);
    }

    @Override
    public void probe(String machine) {
        InetSocketAddress address = addresses.get(machine);
        if (address == null) {
            return;
        }
        Probe probe = new Probe(machine);
        try {
            probe.start(network.connect(address, probe));
        } catch (IOException | RuntimeException e) {
            probe.finish(false);
        }
    }

    private final class Probe implements Connection.Listener {
        private final String machine;
        private Connection connection;
        private EventLoop.Timer timeout;
        private boolean finished;

        Probe(String machine) {
            this.machine = machine;
        }

        void start(Connection started) {
            connection = started;
            timeout = loop.schedule(
                    loop.nowUs() + intervalUs / 2,
                    () -> connection.close(CloseReason.CONNECT_TIMEOUT));
        }

        @Override
        public void connected() {
            loop.cancel(timeout);
            timeout = loop.schedule(loop.nowUs() + intervalUs / 4, () -> {
                finish(true);
                connection.close(CloseReason.COMPLETED);
            });
        }

        @Override
        public void bytesReceived(RingBuffer received) {
            // A probe sends no request, so received bytes have no meaning.
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            finish(false);
        }

        void finish(boolean answered) {
            loop.cancel(timeout);
            if (!finished) {
                finished = true;
                listener.onProbeResult(machine, answered);
            }
        }
    }
}
