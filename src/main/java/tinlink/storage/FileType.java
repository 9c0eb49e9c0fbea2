package tinlink.storage;

import java.util.Arrays;

/**
 * The types of files of a durable log. Each file begins with a header that contains its type and
 * number, so that a renamed file is detected.
 */
enum FileType {
    /** {@code log-N}: the records from number N on. */
    LOG("log-", 'l'),
    /** {@code snap-N}: the state after all records before number N. */
    SNAPSHOT("snap-", 's');

    /** Version of the file format, for both types. */
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

    /** Returns the name of the file of this type with that record number. */
    String fileName(long number) {
        return prefix + number;
    }

    /** Returns whether the name is that of a file of this type. */
    boolean isNameOf(String fileName) {
        return fileName.matches(prefix + "\\d{1,18}");
    }

    /** Returns the record number in the name of a file of this type. */
    long numberIn(String fileName) {
        return Long.parseLong(fileName.substring(prefix.length()));
    }

    /** Returns the header of a file of this type with that record number. */
    byte[] header(long number) {
        return RecordFraming.encode(number, magic());
    }

    /** Returns the length of {@link #header} in bytes. */
    int headerLength() {
        return RecordFraming.HEADER_BYTES + magic().length;
    }

    /** Returns whether the content begins with {@link #header}. */
    boolean hasHeader(byte[] content, long number) {
        byte[] header = header(number);
        return content.length >= header.length
                && Arrays.equals(content, 0, header.length, header, 0, header.length);
    }
}
