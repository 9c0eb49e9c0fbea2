package tinlink.cluster;

import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.membership.Member;
import tinlink.cluster.membership.Membership;
import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.MessageKind;
import tinlink.cluster.transport.PeerConnections;
import tinlink.cluster.transport.PeerProtocol;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.MessageRejectedException;
import tinlink.securechannel.MessageCodec;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;

/**
 * Connects {@link Membership} with the connections to other routers: sends its messages, and passes it those
 * received. Event loop's thread only.
 */
final class MembershipTransport implements Membership.Handler {
    private static final EventLog LOG = new EventLog("tinlink.cluster");

    private final EventLoop loop;
    private final Membership membership;
    private final PeerConnections connections;
    private final RouterAddresses addresses;
    private final Incarnation self;
    private final Runnable onSelfConflict;

    /** @param onSelfConflict runs when a later or duplicate process of this router is found */
    MembershipTransport(
            EventLoop loop,
            Membership membership,
            PeerConnections connections,
            RouterAddresses addresses,
            Incarnation self,
            Runnable onSelfConflict) {
        this.loop = loop;
        this.membership = membership;
        this.connections = connections;
        this.addresses = addresses;
        this.self = self;
        this.onSelfConflict = onSelfConflict;
    }

    /** @throws MessageRejectedException if the message is malformed or of an unknown kind */
    void onMessage(ByteBuffer payload) throws MessageRejectedException {
        MembershipMessage message = MembershipMessageCodec.decode(payload);
        String sender = message.rumors().get(0).address();
        membership.onRumors(message.rumors());
        switch (message.kind()) {
            case PROBE -> membership.onProbe(sender, message.sequenceNumber());
            case PROBE_ACK -> membership.onAck(message.sequenceNumber());
            case PROBE_REQUEST ->
                membership.onProbeRequest(sender, message.sequenceNumber(), message.target());
            case PROBE_NACK -> membership.onNack(message.sequenceNumber());
            default -> throw MessageCodec.malformed("membership message of an unknown kind");
        }
    }

    private void send(String address, MembershipMessage message) {
        connections.send(
                addresses.resolve(address),
                PeerProtocol.MEMBERSHIP,
                MembershipMessageCodec.encode(message));
    }

    @Override
    public void sendProbe(String address, long sequenceNumber, List<Rumor> rumors) {
        send(address, new MembershipMessage(MessageKind.PROBE, sequenceNumber, "", rumors));
    }

    @Override
    public void sendAck(String address, long sequenceNumber, List<Rumor> rumors) {
        send(address, new MembershipMessage(MessageKind.PROBE_ACK, sequenceNumber, "", rumors));
    }

    @Override
    public void sendProbeRequest(
            String address, long sequenceNumber, String target, List<Rumor> rumors) {
        send(
                address,
                new MembershipMessage(MessageKind.PROBE_REQUEST, sequenceNumber, target, rumors));
    }

    @Override
    public void sendNack(String address, long sequenceNumber, List<Rumor> rumors) {
        send(address, new MembershipMessage(MessageKind.PROBE_NACK, sequenceNumber, "", rumors));
    }

    @Override
    public void onMemberChanged(Member member) {
        LOG.log(
                Level.INFO,
                "member_changed",
                "router",
                member.router(),
                "incarnation",
                member.incarnation(),
                "state",
                member.state(),
                "duplicate",
                member.duplicate());
        connections.counters().increment("peers_" + member.state().name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void onSelfConflict(Incarnation.Relation relation, Incarnation other) {
        boolean duplicate = relation == Incarnation.Relation.DUPLICATE;
        connections.counters().increment(duplicate ? "peers_self_twin" : "peers_self_later");
        LOG.log(
                Level.SEVERE,
                "duplicate_router",
                "relation",
                relation,
                "other",
                other,
                "own",
                self);
        onSelfConflict.run();
    }

    /** Schedules an empty task: each turn of the event loop ends with the due decisions. */
    @Override
    public void scheduleWakeUp(long atUs) {
        loop.schedule(atUs, () -> {});
    }
}
