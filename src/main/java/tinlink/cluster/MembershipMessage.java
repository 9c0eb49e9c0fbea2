package tinlink.cluster;

import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.MessageKind;

import java.util.List;

/**
 * A probe, its acknowledgement, or one by way of another member, with what travels along.
 *
 * @param kind one of the probe kinds; {@link MessageKind#OTHER} where its code is not known here
 * @param sequenceNumber of the sender's probe that it belongs to
 * @param target whom to probe, as members tell addresses; empty but for a probe request
 * @param rumors the first is the sender's own
 */
record MembershipMessage(
        MessageKind kind, long sequenceNumber, String target, List<Rumor> rumors) {}
