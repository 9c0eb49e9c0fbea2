package tinlink.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** Writes and reads snapshot files: a header, then one frame with the state. */
final class SnapshotFile {
    private SnapshotFile() {}

    /**
     * Writes the state that stands for all records before that number. It is on the disk, complete
     * and under its name, when this returns; after a crash within it the directory has the complete
     * file or none.
     */
    static void write(LogDirectory directory, long number, byte[] state) throws IOException {
        Path temporaryFile = directory.temporaryFile(FileType.SNAPSHOT, number);
        try (FileChannel channel = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            List<byte[]> frames =
                    List.of(FileType.SNAPSHOT.header(number), RecordFraming.encode(number, state));
            LogFile.writeFully(channel, frames);
            channel.force(true);
        }
        Files.move(
                temporaryFile,
                directory.file(FileType.SNAPSHOT, number),
                StandardCopyOption.ATOMIC_MOVE);
        directory.sync();
    }

    /**
     * The state in the file.
     *
     * @throws CorruptLogException where the file is not a complete snapshot of that number
     */
    static byte[] read(Path file, long number) throws IOException {
        byte[] content = Files.readAllBytes(file);
        if (!FileType.SNAPSHOT.hasHeader(content, number)) {
            throw corrupt(file, 0, number);
        }
        int offset = FileType.SNAPSHOT.headerLength();
        int length = RecordFraming.frameLengthAt(content, offset, number);
        if (length < 0 || offset + length != content.length) {
            throw corrupt(file, offset, number);
        }
        return RecordFraming.recordAt(content, offset, length);
    }

    private static CorruptLogException corrupt(Path file, int offset, long number) {
        return new CorruptLogException(
                file,
                offset,
                "it is no complete snapshot of version " + FileType.VERSION + " before record "
                        + number);
    }
}
