package tinlink.gateway;

import tinlink.net.MessageRejectedException;
import tinlink.securechannel.Handshake;
import tinlink.securechannel.SecureSession;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Logger;

/** One connection of a gateway channel, on either side. Runs on the event loop's thread. */
abstract class GatewaySession extends SecureSession {
    static final Logger LOG = Logger.getLogger("tinlink.gateway");
    static final Handshake.Labels PROOF_LABELS = new Handshake.Labels("far proof", "near proof");

    final Gateway gateway;

    GatewaySession(Gateway gateway) {
        super(
                gateway.loop,
                gateway.settings.timing().handshakeUs(),
                GatewayMessageCodec.MAX_UNAUTHENTICATED_BYTES,
                GatewayMessageCodec.MAX_MESSAGE_BYTES);
        this.gateway = gateway;
    }

    /**
     * Sends a message.
     *
     * @return the position of the message's end in the connection's output stream
     */
    long send(GatewayMessage message) {
        return send(message.type().code, GatewayMessageCodec.encode(message));
    }

    /** Sends a handshake message followed by the sender's proof. */
    void sendWithProof(GatewayMessage.Type type, byte[] body, byte[] proof) {
        byte[] all = Arrays.copyOf(body, body.length + proof.length);
        System.arraycopy(proof, 0, all, body.length, proof.length);
        send(type.code, all);
    }

    /**
     * Returns the part of a handshake message that the proofs cover.
     *
     * @return the bytes of the frame that have been read, without the type
     */
    static byte[] readSoFar(byte[] frame, ByteBuffer body) {
        return Arrays.copyOfRange(frame, 1, body.position());
    }

    static void requireType(GatewayMessage.Type required, byte code)
            throws MessageRejectedException {
        if (code != required.code) {
            throw GatewayMessageCodec.malformed(
                    "expected " + required + ", found message type " + code);
        }
    }

    @Override
    protected Logger logger() {
        return LOG;
    }
}
