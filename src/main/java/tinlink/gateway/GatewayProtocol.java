package tinlink.gateway;

import tinlink.net.ProtocolLimits;
import tinlink.securechannel.FrameFormat;
import tinlink.securechannel.MessageCodec;

/**
 * The messages between two routers of different sites; docs/protocol-gateway.md describes them byte
 * by byte. All numbers are big-endian; a text is a length of one byte and so many bytes of UTF-8.
 * Durations alone cross the line, no reading of a clock.
 */
final class GatewayProtocol extends MessageCodec {
    static final int VERSION = 1;

    static final byte HELLO = 1;
    static final byte CHALLENGE = 2;
    static final byte PROOF = 3;
    static final byte FORWARD_PART = 4;
    static final byte CANCEL_PART = 5;
    static final byte STATUS_QUERY = 6;
    static final byte HEARTBEAT = 7;
    static final byte HEARTBEAT_ACK = 8;
    static final byte PART_STATUS = 9;
    static final byte CREDIT_WINDOW = 10;
    static final byte SERVED_CELLS = 11;
    static final byte GO_AWAY = 12;

    static final int NONCE_BYTES = 32;
    static final int PROOF_BYTES = 32;
    /** Before that, a message holds no more: whoever it is, it can't make us hold much. */
    static final int MAX_UNAUTHENTICATED_BYTES = 1 << 10;

    static final int MAX_MESSAGE_BYTES = 1
            + ProtocolLimits.MAX_HEAD_BYTES
            + ProtocolLimits.MAX_BODY_BYTES
            + FrameFormat.TAG_BYTES;
    static final int MAX_QUERIED_PARTS = 4096;

    private GatewayProtocol() {}
}
