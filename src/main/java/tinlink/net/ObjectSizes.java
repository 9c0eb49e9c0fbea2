package tinlink.net;

/**
 * Upper estimates of the heap, in bytes, that common objects take on a 64-bit virtual machine with
 * compressed references. A map entry counts as a tree node, which it becomes if names collide.
 */
public final class ObjectSizes {
    /** A boxed number. */
    public static final int NUMBER = 24;
    /** A list without elements. */
    public static final int EMPTY_LIST = 24;
    /** The array that a list allocates for its first element. */
    public static final int FIRST_ELEMENT = 56;
    /** One element of a list, with the spare capacity of the list's array. */
    public static final int ELEMENT = 8;
    /** A map without entries. */
    public static final int EMPTY_MAP = 56;
    /** The table that a map allocates for its first entry. */
    public static final int FIRST_ENTRY = 80;
    /** One entry of a map, with its share of the map's table. */
    public static final int ENTRY = 72;

    private static final int STRING = 24;
    private static final int ARRAY_HEADER = 16;
    private static final int ALIGNMENT = 8;

    private ObjectSizes() {}

    /** Returns the size of an array of that many bytes. */
    public static long byteArray(int length) {
        return ARRAY_HEADER + aligned(length);
    }

    /** Returns the size of a string of characters up to U+00FF. */
    public static long latin1String(int length) {
        return STRING + byteArray(length);
    }

    /** Returns the size of a string that was decoded from that many bytes of UTF-8. */
    public static long decodedString(String text, int utf8Bytes) {
        boolean isAscii = text.length() == utf8Bytes;
        return latin1String(isAscii ? utf8Bytes : 2 * text.length());
    }

    private static long aligned(long bytes) {
        return (bytes + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
    }
}
