package tinlink.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A folder that survives kills and crashes: a log of numbered records on top of a snapshot. What
 * has been synced is there again after any stop; a record that was torn by the stop is cut off, and
 * with it nothing that had been synced. Damage anywhere else is refused, with file and offset: to
 * go on would be to forget silently.
 *
 * <p>Calls block. One thread at a time; a lock keeps a second process out. Once a write or sync has
 * failed all later calls fail too: after a failed sync nobody can tell what the disk holds, and to
 * sync again would say that nothing was lost.
 *
 * <p>Files: {@code log-N} begins with record N, {@code snap-N} stands for all before record N. A
 * snapshot is written beside, synced, renamed, and its folder synced, before anything that it
 * replaces goes.
 */
public final class Store implements Closeable {
    private static final byte VERSION = 1;
    /**
     * Also the first record of each file: what it is, so that a file put under another name is
     * found out.
     */
    private static final byte[] LOG = {'t', 'l', 'l', VERSION};

    private static final byte[] SNAP = {'t', 'l', 's', VERSION};
    private final Path folder;
    private final long mostBytes;
    private final FileChannel lockFile;
    private final FileLock lock;
    private FileChannel log;
    private long bytes;
    private long next;
    private byte[] snapshot;
    private List<byte[]> records = new ArrayList<>();
    private final List<byte[]> unwritten = new ArrayList<>();
    private long torn;
    private IOException broken;

    /**
     * Opens the folder, made where it is not there, and reads what it holds.
     *
     * @param mostBytes the log together may be so long; past it a write fails as on a full disk
     * @throws Damaged where what is there can't be trusted
     * @throws IOException where it can't be read or written, or another process has it
     */
    public Store(Path folder, long mostBytes) throws IOException {
        this.folder = folder;
        this.mostBytes = mostBytes;
        Files.createDirectories(folder);
        lockFile = FileChannel.open(
                folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = locked();
            recover();
        } catch (IOException | RuntimeException e) {
            lockFile.close();
            throw e;
        }
    }

    private FileLock locked() throws IOException {
        try {
            FileLock l = lockFile.tryLock();
            if (l != null) {
                return l;
            }
        } catch (OverlappingFileLockException e) {
            // Another user of it in this process; the same answer.
        }
        throw new IOException(folder + ": another process has it");
    }

    // ---- What was there. ----

    /**
     * As it was last given, null where there was none; and what came after it, in order. Read once,
     * then freed.
     */
    public byte[] snapshot() {
        return snapshot;
    }

    public List<byte[]> records() {
        return records;
    }

    public void read() {
        snapshot = null;
        records = List.of();
    }

    /** Bytes of a torn end that were cut off at the opening. */
    public long torn() {
        return torn;
    }

    public long nextNumber() {
        return next;
    }

    private void recover() throws IOException {
        SortedMap<Long, Path> logs = new TreeMap<>();
        SortedMap<Long, Path> snaps = new TreeMap<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
            for (Path p : all) {
                String name = p.getFileName().toString();
                if (name.endsWith(".new")) {
                    Files.delete(
                            p); // It was being written when the process ended; nothing rests on it.
                } else if (name.matches("log-\\d{1,18}")) {
                    logs.put(Long.parseLong(name.substring(4)), p);
                } else if (name.matches("snap-\\d{1,18}")) {
                    snaps.put(Long.parseLong(name.substring(5)), p);
                }
            }
        }
        long from = snaps.isEmpty() ? 0 : snaps.lastKey();
        if (!snaps.isEmpty()) {
            snapshot = readSnapshot(snaps.get(from), from);
        }
        next = from;
        List<Path> old = new ArrayList<>(snaps.headMap(from).values());
        for (long first : logs.keySet()) {
            if (first < from) {
                old.add(logs.get(
                        first)); // Stopped between the snapshot's rename and this file's end.
            }
        }
        SortedMap<Long, Path> live = logs.tailMap(from);
        for (long first : live.keySet()) {
            if (first != next) {
                throw new Damaged(
                        live.get(first).toString(),
                        0,
                        "records " + next + " to " + (first - 1) + " are missing");
            }
            readLog(live.get(first), first, first == live.lastKey());
        }
        if (live.isEmpty()) {
            if (snapshot == null && !logs.isEmpty()) {
                throw new Damaged(folder.toString(), 0, "the first records are missing");
            }
            begin();
        } else {
            log = FileChannel.open(
                    live.get(live.lastKey()), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        }
        for (Path p : old) {
            Files.deleteIfExists(p);
        }
    }

    private static byte[] readSnapshot(Path file, long number) throws IOException {
        byte[] all = Files.readAllBytes(file);
        int head = Frames.at(all, 0, number);
        int body = head < 0 ? -1 : Frames.at(all, head, number);
        if (head != Frames.HEAD + SNAP.length
                || body < 0
                || head + body != all.length
                || !is(all, SNAP)) {
            throw new Damaged(
                    file.toString(),
                    Math.max(0, head),
                    "it is no whole snapshot of version " + VERSION);
        }
        return java.util.Arrays.copyOfRange(all, head + Frames.HEAD, all.length);
    }

    private static boolean is(byte[] file, byte[] what) {
        return java.util.Arrays.equals(
                file, Frames.HEAD, Frames.HEAD + what.length, what, 0, what.length);
    }

    private void readLog(Path file, long first, boolean last) throws IOException {
        byte[] all = Files.readAllBytes(file);
        int at = Frames.at(all, 0, first);
        boolean whole = at == Frames.HEAD + LOG.length && is(all, LOG);
        if (!whole && (!last || at >= 0 || Frames.anyAfter(all, 0, first))) {
            throw new Damaged(file.toString(), 0, "it is no log of version " + VERSION);
        }
        at = whole ? at : 0;
        while (whole && at < all.length) {
            int length = Frames.at(all, at, next);
            if (length < 0) {
                break;
            }
            records.add(java.util.Arrays.copyOfRange(all, at + Frames.HEAD, at + length));
            at += length;
            next++;
        }
        if (at < all.length) {
            // Danger: a record that was synced and is spoilt now looks like one torn by the stop,
            // unless some
            // whole one stands behind it. What was torn was never synced, so nothing can stand
            // behind.
            if (!last || Frames.anyAfter(all, at, next)) {
                throw new Damaged(
                        file.toString(),
                        at,
                        "record " + next + " is spoilt and others stand behind it");
            }
            torn = (long) all.length - at;
        }
        if (at < all.length || !whole) {
            try (FileChannel c = FileChannel.open(file, StandardOpenOption.WRITE)) {
                c.truncate(at);
                if (!whole) {
                    c.write(ByteBuffer.wrap(Frames.of(first, LOG)), 0);
                }
                c.force(true);
            }
        }
        bytes += at;
    }

    /** A new file of the log, which begins with the next record. */
    private void begin() throws IOException {
        Path file = folder.resolve("log-" + next);
        log = FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        bytes = 0;
        write(List.of(Frames.of(next, LOG)));
        log.force(true);
        syncFolder();
    }

    // ---- What is kept from here on. ----

    /** Its number. It is kept once {@link #sync} has returned. */
    public long append(byte[] record) throws IOException {
        usable();
        unwritten.add(Frames.of(next, record));
        return next++;
    }

    /** All that was appended is on the disk when this returns. */
    public void sync() throws IOException {
        usable();
        if (unwritten.isEmpty()) {
            return;
        }
        try {
            write(unwritten);
            log.force(false);
            unwritten.clear();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /** Stands for all records so far, which are forgotten. It is kept when this returns. */
    public void snapshot(byte[] state) throws IOException {
        sync();
        Path fresh = folder.resolve("snap-" + next + ".new");
        Path snap = folder.resolve("snap-" + next);
        try {
            try (FileChannel c = FileChannel.open(
                    fresh,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                all(c, List.of(Frames.of(next, SNAP), Frames.of(next, state)));
                c.force(true);
            }
            Files.move(fresh, snap, StandardCopyOption.ATOMIC_MOVE);
            syncFolder();
            log.close();
            begin();
            try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "{log,snap}-*")) {
                for (Path p : all) {
                    if (!p.getFileName().toString().endsWith("-" + next)) {
                        Files.delete(p);
                    }
                }
            }
        } catch (IOException e) {
            throw failed(e);
        }
    }

    /** Bytes of the log since the last snapshot. */
    public long bytes() {
        return bytes;
    }

    private void write(List<byte[]> some) throws IOException {
        long more = some.stream().mapToLong(b -> b.length).sum();
        if (bytes + more > mostBytes) {
            throw new IOException(
                    folder + ": the log is full with " + bytes + " of " + mostBytes + " bytes");
        }
        all(log, some);
        bytes += more;
    }

    private static void all(FileChannel to, List<byte[]> some) throws IOException {
        for (byte[] one : some) {
            ByteBuffer b = ByteBuffer.wrap(one);
            while (b.hasRemaining()) {
                to.write(b);
            }
        }
    }

    private void syncFolder() throws IOException {
        try (FileChannel c = FileChannel.open(folder, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    private void usable() throws IOException {
        if (broken != null) {
            throw new IOException(
                    folder + ": nothing is kept after an earlier failure: " + broken.getMessage(),
                    broken);
        }
    }

    private IOException failed(IOException e) {
        broken = e;
        return e;
    }

    @Override
    public void close() throws IOException {
        log.close();
        lock.release();
        lockFile.close();
    }
}
