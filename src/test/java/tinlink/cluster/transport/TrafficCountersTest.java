package tinlink.cluster.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import tinlink.securechannel.MessageCodec;

class TrafficCountersTest {
    /** Code of a Raft append request. */
    private static final byte APPEND = 1;
    /** Code of {@link MessageKind#PRESENCE}. */
    private static final byte PRESENCE = 8;

    private final TrafficCounters traffic = new TrafficCounters();

    @Test
    void eachKindAndDirectionIsCountedSeparately() {
        byte[] presence =
                new MessageCodec.Builder().putByte(PRESENCE).putText("r1").build();
        traffic.countSent(PeerProtocol.NODE, presence, 100);
        traffic.countSent(PeerProtocol.NODE, presence, 100);
        traffic.countReceived(
                PeerProtocol.NODE,
                new MessageCodec.Builder()
                        .putByte(PeerProtocol.NODE)
                        .putBytes(presence)
                        .build(),
                1,
                70);
        assertArrayEquals(new long[] {1, 70, 2, 200}, traffic.byKind().get("seat"));
        assertEquals(1, traffic.byKind().size());
    }

    @Test
    void aRaftMessageIsClassifiedByTheByteAfterItsRecipient() {
        traffic.countSent(
                PeerProtocol.RAFT,
                new MessageCodec.Builder().putText("r1/0").putByte(APPEND).build(),
                50);
        assertArrayEquals(new long[] {0, 0, 1, 50}, traffic.byKind().get("append"));
    }

    @Test
    void aMalformedMessageCountsAsOther() {
        traffic.countReceived(PeerProtocol.NODE, new byte[] {PeerProtocol.NODE}, 1, 5);
        traffic.countReceived(PeerProtocol.NODE, new byte[] {PeerProtocol.NODE, -1}, 1, 6);
        traffic.countReceived(
                PeerProtocol.RAFT, new byte[] {PeerProtocol.RAFT, (byte) 255, 1}, 1, 7);
        traffic.countReceived((byte) 99, new byte[] {99}, 1, 5);
        assertArrayEquals(new long[] {4, 23, 0, 0}, traffic.byKind().get("other"));
    }
}
