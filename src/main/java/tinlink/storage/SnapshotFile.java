package tinlink.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** Writes and reads snapshot files, which consist of a header and one frame with the state. */
final class SnapshotFile {
    private SnapshotFile() {}

    /**
     * Writes the snapshot of the state after all records before that number. The complete file is
     * on the disk under its final name when this method returns. After a crash in between, the
     * directory holds either the complete file or none.
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
     * Returns the state in the file.
     *
     * @throws CorruptLogException if the file is not a complete snapshot with that number
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
                "not a complete snapshot of version " + FileType.VERSION
                        + " of the state before record " + number);
    }
}
