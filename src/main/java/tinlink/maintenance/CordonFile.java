package tinlink.maintenance;

import tinlink.cluster.consensus.LineCodec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;

/** The file with the ids of the data nodes that a router cordons, as one encoded line. Blocks on disk I/O. */
final class CordonFile {
    /** The file name. Changing it would lose the cordons on an upgrade or a downgrade. */
    private static final String NAME = "left-out";

    private final Path file;

    /** @param folder an existing folder */
    CordonFile(Path folder) {
        file = folder.resolve(NAME);
    }

    /** Reads the ids; the set is empty if the file doesn't exist. */
    Set<String> read() throws IOException {
        if (!Files.exists(file)) {
            return Set.of();
        }
        Set<String> nodes = new TreeSet<>(LineCodec.decode(Files.readString(file)));
        nodes.remove(""); // An empty line decodes to one empty field.
        return nodes;
    }

    /** Replaces the file atomically; the new content is on disk when this method returns. */
    void write(Set<String> nodes) throws IOException {
        byte[] line = LineCodec.encode(nodes.toArray()).getBytes(StandardCharsets.UTF_8);
        Path temporary = file.resolveSibling(NAME + ".new");
        try (FileChannel channel = FileChannel.open(
                temporary,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(line);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }
}
