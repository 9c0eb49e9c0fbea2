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

/** The file with the ids of the data nodes that a router cordons: one line of fields. Blocks on the disk. */
final class CordonFile {
    /** Builds read each other's file: the name stays. */
    private static final String NAME = "left-out";

    private final Path file;

    /** @param folder that is there */
    CordonFile(Path folder) {
        file = folder.resolve(NAME);
    }

    /** Reads the ids; none where there is no file. */
    Set<String> read() throws IOException {
        if (!Files.exists(file)) {
            return Set.of();
        }
        Set<String> nodes = new TreeSet<>(LineCodec.decode(Files.readString(file)));
        nodes.remove(""); // What an empty line decodes to.
        return nodes;
    }

    /** Replaces the file in one step; it is on the disk when this returns. */
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
