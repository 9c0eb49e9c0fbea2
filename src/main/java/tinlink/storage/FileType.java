package tinlink.storage;

import java.util.Arrays;

/**
 * The files of a durable log. Each begins with a record that tells its type, so that a renamed file
 * is noticed.
 */
enum FileType {
    /** {@code log-N}: records from number N on. */
    LOG("log-", 'l'),
    /** {@code snap-N}: the state that stands for all records before number N. */
    SNAPSHOT("snap-", 's');

    /** Version of the format of both types. */
    static final byte VERSION = 1;

    private final String prefix;
    private final char letter;

    FileType(String prefix, char letter) {
        this.prefix = prefix;
        this.letter = letter;
    }

    private byte[] magic() {
        return new byte[] {'t', 'l', (byte) letter, VERSION};
    }

    /** The name of the file that begins with, or stands for all before, that record. */
    String fileName(long number) {
        return prefix + number;
    }

    /** Whether it is the name of a file of this type. */
    boolean isNameOf(String fileName) {
        return fileName.matches(prefix + "\\d{1,18}");
    }

    /** The record number in a name of this type. */
    long numberIn(String fileName) {
        return Long.parseLong(fileName.substring(prefix.length()));
    }

    /** The frame that a file of this type begins with. */
    byte[] header(long number) {
        return RecordFraming.encode(number, magic());
    }

    /** Bytes of {@link #header}. */
    int headerLength() {
        return RecordFraming.HEADER_BYTES + magic().length;
    }

    /** Whether the content begins with {@link #header}. */
    boolean hasHeader(byte[] content, long number) {
        byte[] header = header(number);
        return content.length >= header.length
                && Arrays.equals(content, 0, header.length, header, 0, header.length);
    }
}
