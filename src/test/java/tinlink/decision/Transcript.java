package tinlink.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The recorded lines of a play, with a digest for each block of lookups, so that a difference can be located.
 */
final class Transcript {
    private static final int LOOKUPS_PER_BLOCK = 200;
    private final StringBuilder text = new StringBuilder();
    private final List<String> blocks = new ArrayList<>();
    private int blockStart;
    private int linesInBlock;

    /** Begins a lookup; every {@code LOOKUPS_PER_BLOCK} lookups, the lines that follow are a new block. */
    void beginLookup(long number) {
        if (number > 0 && number % LOOKUPS_PER_BLOCK == 0) {
            closeBlock();
        }
    }

    void record(String code, Object... fields) {
        text.append(code);
        for (Object field : fields) {
            text.append(' ').append(field);
        }
        text.append('\n');
        linesInBlock++;
    }

    private void closeBlock() {
        byte[] block = text.substring(blockStart).getBytes(StandardCharsets.UTF_8);
        blockStart = text.length();
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(block);
            blocks.add(linesInBlock + " " + HexFormat.of().formatHex(digest, 0, 12));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        linesInBlock = 0;
    }

    /** The number of lines and the digest of each block; called once, after the play has ended. */
    List<String> blocks() {
        closeBlock();
        return blocks;
    }

    String text() {
        return text.toString();
    }
}
