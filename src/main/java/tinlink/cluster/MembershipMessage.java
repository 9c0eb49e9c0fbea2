package tinlink.cluster;

import tinlink.cluster.membership.Rumor;
import tinlink.cluster.transport.MessageKind;

import java.util.List;

/**
 * A probe, its acknowledgement, a request for an indirect probe or the report of its failure, with rumors.
 *
 * @param kind one of the kinds of a probe message; {@link MessageKind#OTHER} if the code is unknown
 * @param sequenceNumber the number of the probe, given by the router that sent the probe or probe request
 * @param target the address to probe, prefixed with its router's name; empty unless it is a probe request
 * @param rumors rumors, of which the first is the sender's about itself
 */
record MembershipMessage(
        MessageKind kind, long sequenceNumber, String target, List<Rumor> rumors) {}
