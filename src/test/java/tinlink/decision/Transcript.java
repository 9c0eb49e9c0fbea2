package tinlink.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Lines of a play, and a digest of those of each block of lookups, so that a difference is located.
 */
final class Transcript {
    private static final int BLOCK = 200;
    private final StringBuilder all = new StringBuilder();
    private final List<String> blocks = new ArrayList<>();
    private int from;
    private int lines;

    /** A lookup is taken; the lines that follow may belong to a new block. */
    void lookup(long number) {
        if (number > 0 && number % BLOCK == 0) {
            close();
        }
    }

    void note(String code, Object... fields) {
        all.append(code);
        for (Object field : fields) {
            all.append(' ').append(field);
        }
        all.append('\n');
        lines++;
    }

    private void close() {
        byte[] text = all.substring(from).getBytes(StandardCharsets.UTF_8);
        from = all.length();
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text);
            blocks.add(lines + " " + HexFormat.of().formatHex(digest, 0, 12));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        lines = 0;
    }

    /** The number of lines and the digest of each block, after the play's end. */
    List<String> blocks() {
        close();
        return blocks;
    }

    String text() {
        return all.toString();
    }
}
