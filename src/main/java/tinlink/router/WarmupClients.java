package tinlink.router;

import tinlink.config.RouterConfig;
import tinlink.decision.LookupClass;
import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.HttpReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.Network;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The simulated clients of the warm-up. Each sends its next lookup as soon as the previous one is answered,
 * whatever the answer, until all lookups have been sent. Confined to the event loop's thread.
 */
final class WarmupClients {
    /**
     * The cost of first execution, class loading and linking, is paid by the first few lookups; each further
     * lookup makes a restart longer.
     */
    private static final int LOOKUP_COUNT = 24;

    private static final int CLIENT_COUNT = 4;
    private static final int MAX_PARTS = 5;

    private final RouterConfig.LookupSettings settings;
    private final String idPrefix;
    private final String clientToken;
    private final Runnable whenDone;
    private final List<Map.Entry<String, LookupClass>> lookupClasses;
    private final List<Client> clients = new ArrayList<>();
    private int lookupsSent;
    private int lookupsAnswered;
    private int openClients;

    /**
     * @param idPrefix prefix of the call ids
     * @param clientToken first bytes sent on each connection
     * @param whenDone run when all lookups are answered, and again when the last connection has closed
     */
    WarmupClients(
            RouterConfig.LookupSettings settings,
            String idPrefix,
            String clientToken,
            Runnable whenDone) {
        this.settings = settings;
        this.idPrefix = idPrefix;
        this.clientToken = clientToken;
        this.whenDone = whenDone;
        lookupClasses = List.copyOf(settings.lookupClasses().entrySet());
    }

    /** Connects all clients. */
    void connect(Network network, InetSocketAddress address) throws IOException {
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Client client = new Client();
            client.connection = network.connect(address, client);
            clients.add(client);
            openClients++;
        }
    }

    int lookupsAnswered() {
        return lookupsAnswered;
    }

    void closeAll() {
        clients.forEach(client -> client.connection.close(CloseReason.COMPLETED));
    }

    /** The request for the next lookup; the lookups go through the lookup classes in turn. */
    private String nextRequest() {
        Map.Entry<String, LookupClass> lookupClass =
                lookupClasses.get(lookupsSent % lookupClasses.size());
        int parts = Math.min(MAX_PARTS, settings.shardCount());
        List<String> segments = new ArrayList<>();
        for (int i = 0; i < parts; i++) {
            segments.add("{\"segment\":" + i + ",\"boost\":" + 1.0 / parts + "}");
        }
        String body = "{\"segments\":[" + String.join(",", segments) + "],\"text\":\"warm\"}";
        return "POST /api HTTP/1.1\r\nHost: warm\r\nX-Call-Id: " + idPrefix + lookupsSent++
                + "\r\nX-Call-Class: " + lookupClass.getKey()
                + "\r\nX-Budget-Ms: " + lookupClass.getValue().deadlineUs / 1000
                + "\r\nIdempotency-Key: warm\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private final class Client implements Connection.Listener, HttpReader.MessageListener {
        private final HttpReader reader = HttpReader.forResponses(this);
        private Connection connection;

        @Override
        public void connected() {
            connection.out().put(clientToken);
            sendLookup();
        }

        private void sendLookup() {
            if (lookupsSent < LOOKUP_COUNT) {
                connection.out().put(nextRequest());
                connection.scheduleWrite();
            }
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            try {
                while (in.size() > 0) {
                    reader.read(in);
                }
            } catch (MessageRejectedException e) {
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
        }

        @Override
        public void messageEnded() {
            if (++lookupsAnswered == LOOKUP_COUNT) {
                whenDone.run();
            } else {
                sendLookup();
            }
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            if (--openClients == 0) {
                whenDone.run();
            }
        }
    }
}
