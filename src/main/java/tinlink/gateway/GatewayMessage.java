package tinlink.gateway;

import tinlink.gateway.forwarding.PartStatus;

import java.util.BitSet;
import java.util.Set;

/**
 * The messages between two routers of different sites; docs/protocol-gateway.md describes them byte by byte,
 * {@link GatewayMessageCodec} reads and writes them. Durations are microseconds; no reading of a clock
 * crosses.
 */
@SuppressWarnings("ArrayRecordComponent") // Nonces and values are written and read, never compared.
sealed interface GatewayMessage {
    /** The kinds of message, by the byte that each begins with. */
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

    /** Who connects, on which of its channels, with which key. */
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

    /** Who was called, without its proof. */
    record Challenge(String site, String router, long incarnation, byte[] nonce)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CHALLENGE;
        }
    }

    /**
     * What the caller claims with its proof.
     *
     * @param connectCount how often the channel has connected, this time included
     * @param nextNumber of its next part
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
     * @param number of the part on its channel
     * @param remainingUs how long an answer counts
     * @param effectRemainingUs how long it may have its effect; Long.MAX_VALUE where that does not matter
     * @param ackedHeartbeat the last heartbeat that was answered
     * @param sinceAckUs how long ago that answer came
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

    /** The part is of no use any more. */
    record CancelPart(long number) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CANCEL_PART;
        }
    }

    /**
     * Asks about one channel.
     *
     * @param connectCount how often that one had connected
     * @param nextNumber of its next part
     * @param numbers all of its parts that are still of interest
     */
    record StatusQuery(int channelIndex, long connectCount, long nextNumber, Set<Long> numbers)
            implements GatewayMessage {
        @Override
        public Type type() {
            return Type.STATUS_QUERY;
        }
    }

    /**
     * Shows that the connection works, and what may be forgotten.
     *
     * @param lowestOpenNumber parts below it are of no interest any more
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
     * What became of a part.
     *
     * @param channelIndex the channel that it came on
     * @param durationUs how long it took
     * @param retryAfterUs when to try again, 0 for no advice
     * @param value of one that is completed, else empty
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
     * How much the receiving router takes.
     *
     * @param parts that the channel may have in flight at a time
     */
    record CreditWindow(int parts) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.CREDIT_WINDOW;
        }
    }

    /** The cells that the router reaches at its own site. */
    record ServedCells(BitSet cells) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.SERVED_CELLS;
        }
    }

    /**
     * The receiving router stops.
     *
     * @param lastStarted number of the last part started on the channel; none past it will be
     */
    record GoAway(long lastStarted) implements GatewayMessage {
        @Override
        public Type type() {
            return Type.GO_AWAY;
        }
    }
}
