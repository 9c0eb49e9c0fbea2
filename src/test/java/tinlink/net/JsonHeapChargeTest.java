package tinlink.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.openjdk.jol.info.GraphLayout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/** Compares what {@link JsonReader} charges for a body with the heap that the body really takes. */
class JsonHeapChargeTest {
    private static final long SEED = 56;
    private static final int BODY_BYTES = 3_000;
    /** Charges are estimates, which must not cost usual requests much more than they take. */
    private static final int MAX_OVERESTIMATE = 3;

    /**
     * Guards against bodies that take more heap than is charged for them, with which a few hundred
     * clients exhausted the heap.
     */
    @ParameterizedTest
    @EnumSource(RequestShapes.Shape.class)
    void aBodyNeverRetainsMoreThanIsCharged(RequestShapes.Shape shape)
            throws MessageRejectedException {
        SplittableRandom random = new SplittableRandom(SEED);
        byte[] body = new RequestShapes(SEED)
                .incompleteBody(shape, BODY_BYTES)
                .getBytes(StandardCharsets.UTF_8);
        HeapAllowance allowance = new HeapAllowance(Long.MAX_VALUE);
        JsonReader reader = new JsonReader(allowance);
        long emptyBytes = GraphLayout.parseInstance(reader).totalSize();
        for (int position = 0; position < body.length; ) {
            int count = Math.min(body.length - position, random.nextInt(1, body.length / 4));
            reader.read(ByteBuffer.wrap(body, position, count));
            position += count;
            long retainedBytes = GraphLayout.parseInstance(reader).totalSize() - emptyBytes;
            assertTrue(
                    allowance.usedBytes() >= retainedBytes,
                    () -> "charged " + allowance.usedBytes() + " of " + retainedBytes + " bytes");
            assertTrue(
                    allowance.usedBytes() <= MAX_OVERESTIMATE * retainedBytes + 4096,
                    () -> "charged " + allowance.usedBytes() + " for " + retainedBytes + " bytes");
        }
    }

    @Test
    void aMessageOverItsAllowanceIsRejected() {
        JsonReader reader = new JsonReader(new HeapAllowance(1000));
        byte[] body = ("[[]" + ",[]".repeat(50)).getBytes(StandardCharsets.UTF_8);
        MessageRejectedException rejection = assertThrows(
                MessageRejectedException.class, () -> reader.read(ByteBuffer.wrap(body)));
        assertEquals(413, rejection.status);
    }
}
