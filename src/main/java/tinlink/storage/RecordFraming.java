package tinlink.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Records as they stand in a file: a length, the record's number, a checksum over both and the
 * bytes, the bytes. All big-endian.
 */
final class RecordFraming {
    static final int HEADER_BYTES = 4 + 8 + 4;
    /** A record holds no more. */
    static final int MAX_RECORD_BYTES = 8 << 20;

    private RecordFraming() {}

    static byte[] encode(long number, byte[] record) {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("a record of " + record.length + " bytes");
        }
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.length)
                .putInt(record.length)
                .putLong(number);
        return buffer.putInt(checksum(record.length, number, record, 0))
                .put(record)
                .array();
    }

    private static int checksum(int length, long number, byte[] bytes, int offset) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(12).putInt(length).putLong(number).flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** The length of the whole record of that number there; -1 where there is none. */
    static int lengthAt(byte[] file, int offset, long number) {
        if (offset + HEADER_BYTES > file.length) {
            return -1;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        int length = buffer.getInt();
        if (length < 0
                || length > MAX_RECORD_BYTES
                || offset + HEADER_BYTES + (long) length > file.length
                || buffer.getLong() != number) {
            return -1;
        }
        return buffer.getInt() == checksum(length, number, file, offset + HEADER_BYTES)
                ? HEADER_BYTES + length
                : -1;
    }

    /**
     * Whether any whole record of a number past that one stands behind: then what is spoilt before
     * it is no torn end.
     */
    static boolean hasRecordAfter(byte[] file, int offset, long number) {
        for (int candidate = offset + 1; candidate + HEADER_BYTES <= file.length; candidate++) {
            long candidateNumber = ByteBuffer.wrap(file, candidate + 4, 8).getLong();
            if (candidateNumber >= number
                    && candidateNumber - number <= file.length
                    && lengthAt(file, candidate, candidateNumber) >= 0) {
                return true;
            }
        }
        return false;
    }
}
