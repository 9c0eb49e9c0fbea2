package tinlink.cluster.membership;

import java.util.List;

/**
 * A message that waits to be sent.
 *
 * @param target whom to probe; null but for a probe request
 */
record OutgoingMessage(Type type, String address, long sequenceNumber, String target) {
    enum Type {
        PROBE,
        ACK,
        PROBE_REQUEST,
        NACK
    }

    void sendBy(Membership.Handler handler, List<Rumor> rumors) {
        switch (type) {
            case PROBE -> handler.sendProbe(address, sequenceNumber, rumors);
            case ACK -> handler.sendAck(address, sequenceNumber, rumors);
            case PROBE_REQUEST -> handler.sendProbeRequest(address, sequenceNumber, target, rumors);
            case NACK -> handler.sendNack(address, sequenceNumber, rumors);
        }
    }
}
