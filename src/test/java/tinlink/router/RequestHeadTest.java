package tinlink.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.openjdk.jol.info.GraphLayout;

import tinlink.net.HeapAllowance;
import tinlink.net.HeapCharge;
import tinlink.net.MessageRejectedException;
import tinlink.net.ProtocolLimits;

import java.util.SplittableRandom;

/** Compares what {@link RequestHead} charges for a head with the heap that the head really takes. */
class RequestHeadTest {
    private static final int MAX_FIELDS = 120;
    private static final int MAX_VALUE_LENGTH = 40;

    /** Guards against heads of many short fields, which took far more heap than their bytes. */
    @Test
    void aHeadNeverRetainsMoreThanIsCharged() throws MessageRejectedException {
        SplittableRandom random = new SplittableRandom(56);
        HeapAllowance allowance = new HeapAllowance(Long.MAX_VALUE);
        RequestHead head = new RequestHead(allowance);
        long emptyBytes = GraphLayout.parseInstance(head).totalSize();
        head.startLine("POST", "/api?" + "q".repeat(100), "HTTP/1.1");
        for (int i = 0; i < MAX_FIELDS; i++) {
            head.add(Integer.toString(i, 36), "v".repeat(random.nextInt(MAX_VALUE_LENGTH)));
            long retainedBytes = GraphLayout.parseInstance(head).totalSize() - emptyBytes;
            assertTrue(
                    allowance.usedBytes() >= retainedBytes,
                    () -> "charged " + allowance.usedBytes() + " of " + retainedBytes + " bytes");
        }
    }

    /** Guards against heads of very many short fields, which took far more time than their bytes. */
    @Test
    void aHeadOfTooManyFieldsIsRejected() throws MessageRejectedException {
        RequestHead head = new RequestHead(HeapCharge.UNLIMITED);
        head.startLine("POST", "/api", "HTTP/1.1");
        for (int i = 0; i < ProtocolLimits.MAX_HEAD_FIELDS; i++) {
            head.add("a", "");
        }
        MessageRejectedException rejection =
                assertThrows(MessageRejectedException.class, () -> head.add("a", ""));
        assertEquals(431, rejection.status);
    }
}
