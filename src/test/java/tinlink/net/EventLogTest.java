package tinlink.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Checks the format of log lines, also for values with special characters. */
class EventLogTest {
    @Test
    void aLineIsTheEventAndItsPairs() {
        assertEquals("event=stopped", EventLog.format("stopped"));
        assertEquals(
                "event=stopped router=r1 in_flight=12345 reason=PEER_CLOSED",
                EventLog.format(
                        "stopped",
                        "router",
                        "r1",
                        "in_flight",
                        12_345,
                        "reason",
                        CloseReason.PEER_CLOSED));
    }

    @Test
    void aValueThatWouldBreakTheLineIsQuoted() {
        assertEquals("event=a k=\"two words\"", EventLog.format("a", "k", "two words"));
        assertEquals("event=a k=\"\"", EventLog.format("a", "k", ""));
        assertEquals("event=a k=-", EventLog.format("a", "k", null));
        assertEquals("event=a k=\"x=1\"", EventLog.format("a", "k", "x=1"));
        assertEquals(
                "event=a k=\"say \\\"no\\\" \\\\\"", EventLog.format("a", "k", "say \"no\" \\"));
        assertEquals("event=a k=\"one event=b\"", EventLog.format("a", "k", "one\nevent=b"));
        assertEquals("event=a k={0}", EventLog.format("a", "k", "{0}"));
    }

    @Test
    void anAddressIsHostAndPort() throws UnknownHostException {
        assertEquals(
                "event=a at=127.0.0.1:7301",
                EventLog.format("a", "at", new InetSocketAddress(address(127, 0, 0, 1), 7301)));
        assertEquals(
                "event=a at=[0:0:0:0:0:0:0:1]:80",
                EventLog.format(
                        "a",
                        "at",
                        new InetSocketAddress(
                                address(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1), 80)));
    }

    private static InetAddress address(int... bytes) throws UnknownHostException {
        byte[] raw = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            raw[i] = (byte) bytes[i];
        }
        return InetAddress.getByAddress(raw);
    }

    @Test
    void aKeyWithoutAValueIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> EventLog.format("a", "k"));
    }

    @Test
    void theLevelIsTheLoggersAndTheCauseIsKept() {
        Logger logger = Logger.getLogger("tinlink.test.eventlog");
        List<LogRecord> records = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord record) {
                records.add(record);
            }

            @Override
            public void flush() {
                // This handler buffers nothing.
            }

            @Override
            public void close() {
                // This handler has no open resources.
            }
        };
        logger.setUseParentHandlers(false);
        logger.setLevel(Level.INFO);
        logger.addHandler(handler);
        EventLog log = new EventLog("tinlink.test.eventlog");
        IllegalStateException cause = new IllegalStateException();
        log.log(Level.FINE, "unseen");
        log.logFailure(Level.WARNING, "seen", cause, "k", 1);
        assertEquals(1, records.size());
        assertEquals("event=seen k=1", records.get(0).getMessage());
        assertEquals(cause, records.get(0).getThrown());
    }
}
