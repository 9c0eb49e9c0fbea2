package tinlink.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The format of a record in a file, called a frame. A frame consists of the record's length (4
 * bytes), the record's number (8 bytes), a CRC-32C over length, number and record (4 bytes), and
 * the record. All numbers are big-endian.
 */
final class RecordFraming {
    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int NUMBER_BYTES = Long.BYTES;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    static final int HEADER_BYTES = LENGTH_BYTES + NUMBER_BYTES + CHECKSUM_BYTES;
    /** Maximum length of a record. */
    static final int MAX_RECORD_BYTES = 8 << 20;

    private RecordFraming() {}

    /**
     * Returns the frame of a record.
     *
     * @throws IllegalArgumentException if the record is longer than {@link #MAX_RECORD_BYTES}
     */
    static byte[] encode(long number, byte[] record) {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("content of frame " + number + " has "
                    + record.length + " bytes, more than the maximum of " + MAX_RECORD_BYTES);
        }
        return ByteBuffer.allocate(HEADER_BYTES + record.length)
                .putInt(record.length)
                .putLong(number)
                .putInt(checksum(record.length, number, record, 0))
                .put(record)
                .array();
    }

    private static int checksum(int length, long number, byte[] bytes, int offset) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(LENGTH_BYTES + NUMBER_BYTES)
                .putInt(length)
                .putLong(number)
                .flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /**
     * Returns the length in bytes of the frame at the offset, or -1 if the file has no complete and
     * valid frame of the record with that number there.
     */
    static int frameLengthAt(byte[] file, int offset, long number) {
        if (offset + HEADER_BYTES > file.length) {
            return -1;
        }
        ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        int length = header.getInt();
        if (length < 0
                || length > MAX_RECORD_BYTES
                || offset + HEADER_BYTES + (long) length > file.length
                || header.getLong() != number) {
            return -1;
        }
        int checksum = checksum(length, number, file, offset + HEADER_BYTES);
        return header.getInt() == checksum ? HEADER_BYTES + length : -1;
    }

    /** Returns the record in the frame of that length at the offset. */
    static byte[] recordAt(byte[] file, int offset, int frameLength) {
        return Arrays.copyOfRange(file, offset + HEADER_BYTES, offset + frameLength);
    }

    /**
     * Returns whether a complete frame of a record with that number or a later one begins anywhere
     * after the offset. If so, the bytes at the offset are corrupt rather than a torn end.
     */
    static boolean hasRecordAfter(byte[] file, int offset, long number) {
        for (int candidate = offset + 1; candidate + HEADER_BYTES <= file.length; candidate++) {
            long found = ByteBuffer.wrap(file, candidate + LENGTH_BYTES, NUMBER_BYTES)
                    .getLong();
            // A file holds fewer records than bytes, so a higher number is not a record number.
            boolean possible = found >= number && found - number <= file.length;
            if (possible && frameLengthAt(file, candidate, found) >= 0) {
                return true;
            }
        }
        return false;
    }
}
