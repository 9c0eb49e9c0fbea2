package tinlink.gateway;

import tinlink.gateway.forwarding.PartStatus;

import java.util.BitSet;
import java.util.Set;

/**
 * The messages between two routers of different sites. docs/protocol-gateway.md specifies their bytes;
 * {@link GatewayMessageCodec} reads and writes them. Times are durations in microseconds, never clock
 * readings, since the clocks of the two routers can't be compared.
 */
@SuppressWarnings("ArrayRecordComponent") // Nonces and values are written and read, never compared.
sealed interface GatewayMessage {
    /** The types of messages; the code is the first byte of the message. */
    enum Type {
        HELLO(1),
        CHALLENGE(2),
        PROOF(3),
        FORWARD_PART(4),
        CANCEL_PART(5),
        STATUS_QUERY(6),
        HEARTBEAT(7),
        HEARTBEAT_ACK(8),
        PART_STATUS(9),
        CREDIT_WINDOW(10),
        SERVED_CELLS(11),
        GO_AWAY(12);

        final byte code;

        Type(int code) {
            this.code = (byte) code;
        }
    }

    Type type();

    /** The connecting router's name and incarnation, the index of its channel, and the id of its key. */
    record Hello(
            String keyId,
            String site,
            String router,
            int channelIndex,
            long incarnation,
            byte[] nonce)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.HELLO;
        }
    }

    /** The name and incarnation of the router that accepted the connection, without its proof. */
    record Challenge(String site, String router, long incarnation, byte[] nonce)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CHALLENGE;
        }
    }

    /**
     * The connecting router's claims about its channel, which its proof covers.
     *
     * @param connectCount how often the channel has connected, this time included
     * @param nextNumber the number of the channel's next part
     */
    record Proof(long connectCount, long nextNumber) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.PROOF;
        }
    }

    /**
     * A part that the receiving router is to run.
     *
     * @param number the number of the part on its channel
     * @param remainingUs how much longer an answer is accepted
     * @param effectRemainingUs how much longer the part may have its effect; Long.MAX_VALUE for no limit
     * @param ackedHeartbeat the number of the last heartbeat that was answered
     * @param sinceAckUs the time since that answer arrived
     */
    record ForwardPart(
            long number,
            long remainingUs,
            long effectRemainingUs,
            long ackedHeartbeat,
            long sinceAckUs,
            PartContent content)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.FORWARD_PART;
        }
    }

    /** Tells the receiving router that the result of the part is no longer needed. */
    record CancelPart(long number) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CANCEL_PART;
        }
    }

    /**
     * Queries the status of the parts of one channel.
     *
     * @param connectCount how often the queried channel has connected
     * @param nextNumber the number of the queried channel's next part
     * @param numbers the numbers of all its parts that the forwarding router still needs
     */
    record StatusQuery(int channelIndex, long connectCount, long nextNumber, Set<Long> numbers)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.STATUS_QUERY;
        }
    }

    /**
     * Shows that the connection works, and tells which parts may be forgotten.
     *
     * @param lowestOpenNumber parts with lower numbers may be forgotten
     */
    record Heartbeat(long number, long lowestOpenNumber) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.HEARTBEAT;
        }
    }

    record HeartbeatAck(long number) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.HEARTBEAT_ACK;
        }
    }

    /**
     * The status of a part.
     *
     * @param channelIndex the index of the channel on which the part was forwarded
     * @param durationUs how long the part took on the receiving router
     * @param retryAfterUs when a rejected part may be tried again; 0 for no advice
     * @param value the value of a completed part, else empty
     */
    record StatusReport(
            int channelIndex,
            long number,
            PartStatus status,
            long durationUs,
            long retryAfterUs,
            byte[] value)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.PART_STATUS;
        }
    }

    /**
     * The credit window of a channel.
     *
     * @param parts how many parts the channel may have in flight at a time
     */
    record CreditWindow(int parts) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CREDIT_WINDOW;
        }
    }

    /** The cells that the receiving router reaches at its own site. */
    record ServedCells(BitSet cells) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.SERVED_CELLS;
        }
    }

    /**
     * Announces that the receiving router is stopping.
     *
     * @param lastStarted the number of the last part started on the channel; no later part will start
     */
    record GoAway(long lastStarted) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.GO_AWAY;
        }
    }
}
