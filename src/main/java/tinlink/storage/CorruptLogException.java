package tinlink.storage;

import java.io.IOException;

/**
 * What is kept can't be trusted: something other than the end of the newest file is not as it was
 * written.
 */
public final class CorruptLogException extends IOException {
    private static final long serialVersionUID = 1;

    CorruptLogException(String file, long offset, String what) {
        super(file + " at byte " + offset + ": " + what);
    }
}
