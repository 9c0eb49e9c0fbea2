package tinlink.cluster.membership;

import java.util.List;

/**
 * A membership message in the outbox; rumors are added when it is sent.
 *
 * @param address the recipient's address
 * @param target the address to probe; null unless the message is a probe request
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
