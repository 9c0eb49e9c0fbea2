package tinlink.experiment.simulation;

import tinlink.cluster.membership.Rumor;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * How many bytes a message between routers takes on its link, frame and seal counted: the format of
 * docs/protocol-peers.md. Without TCP's and IP's own headers.
 */
final class WireSize {
    /** Length and type before, the seal after. */
    static final int FRAME = 4 + 1 + 16;

    static final int INT = 4;
    static final int LONG = 8;
    private static final int LIFE_NUMBERS = 2 * LONG;
    /** What a router's name lacks to be where it is reached, as {@code @10.10.10.10:7400}. */
    private static final int ADDRESS = 17;

    private WireSize() {}

    /** A text with a length of one byte. */
    static int text(String text) {
        return 1 + utf8(text);
    }

    /** A text with a length of four bytes. */
    static int longText(String text) {
        return INT + utf8(text);
    }

    private static int utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Lines as one long text, an end of line between two. */
    static int lines(List<String> lines) {
        int bytes = INT + Math.max(0, lines.size() - 1);
        for (String line : lines) {
            bytes += utf8(line);
        }
        return bytes;
    }

    /** A word of a subsystem, with what follows its kind and its speaker's name. */
    static int word(String speaker, int body) {
        return FRAME + 1 + text(speaker) + body;
    }

    /** A message of the agreement for a voter. */
    static int agreement(String voter, int body) {
        return FRAME + text(voter) + body;
    }

    /** A message of the membership. */
    static int membership(String target, List<Rumor> rumors) {
        int bytes = FRAME + 1 + LONG + text(target) + 1;
        for (Rumor rumor : rumors) {
            bytes += text(rumor.incarnation().router()) + LIFE_NUMBERS + LONG + 1;
            bytes += text(rumor.address()) + ADDRESS + text(rumor.suspectedBy());
        }
        return bytes;
    }
}
