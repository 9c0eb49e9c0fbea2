import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** A data node on frames, as PROTOCOL.md has it. It runs each part and answers after its work. */
class DataNode {
    /** A part that has arrived whole. Times are milliseconds of the record. */
    static final class Run {
        final String id;
        final int shard;
        final String key;
        final long arrivedMs;
        volatile long endedMs = -1;
        volatile String end = "open";

        Run(String id, int shard, String key, long arrivedMs) {
            this.id = id;
            this.shard = shard;
            this.key = key;
            this.arrivedMs = arrivedMs;
        }
    }

    final String uid;
    final int cell;
    final String zone;
    final ServerSocket server;
    final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    final ToLongFunction<String> workMs;
    /** Bytes of padding behind each value, so that answers are as long as pages allow. */
    volatile int padding;
    /** Bytes a millisecond that a connection carries to the router; 0: as fast as it can. */
    volatile int bytesPerMs;
    /** The longest time from the first byte of an answer to its last one, as they were written. */
    volatile long longestAnswerMs;
    /** Bytes of a piece in which the stream of answers is written; 0: each answer in one piece. */
    volatile int pieceBytes;

    final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());

    /** @param workMs how long a part with that text is worked on */
    DataNode(String uid, int cell, String zone, ToLongFunction<String> workMs) throws IOException {
        this.uid = uid;
        this.cell = cell;
        this.zone = zone;
        this.workMs = workMs;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Kit.thread(() -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Kit.thread(() -> serve(socket));
            }
        });
    }

    String entry(String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"az\":\"" + zone + "\",\"model\":\"m\",\"pod_group\":" + cell
                + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    /** The machine is taken: the process ends, its connections are reset, new ones are refused. */
    void stop() throws IOException {
        server.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    long open() {
        synchronized (runs) {
            return runs.stream().filter(r -> r.end.equals("open")).count();
        }
    }

    void serve(Socket socket) throws Exception {
        List<Run> here = Collections.synchronizedList(new ArrayList<>());
        try {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = new PacedOutput(socket.getOutputStream());
            while (true) {
                byte[] frame = new byte[in.readInt()];
                in.readFully(frame);
                switch (frame[0]) {
                    case 'R' -> request(frame, out, here);
                    case 'A' -> giveUp(text(frame, 1, frame.length), here);
                    case 'G' -> send(out, 'G', "OK".getBytes(StandardCharsets.US_ASCII));
                    case 'T' -> send(out, 'T', "-".getBytes(StandardCharsets.US_ASCII));
                    default -> throw new IOException("a frame " + (char) frame[0]);
                }
            }
        } finally {
            sockets.remove(socket);
            socket.close();
            for (Run run : List.copyOf(here)) {
                end(run, "connection ended");
            }
        }
    }

    /** Writes what it is given in order, at the pace and in the pieces that the node has set. */
    private final class PacedOutput extends OutputStream {
        private final OutputStream socket;
        private final java.util.concurrent.LinkedBlockingQueue<byte[]> frames =
                new java.util.concurrent.LinkedBlockingQueue<>();
        /** Answers that are not written whole: bytes left, time of the first byte or -1. */
        private final java.util.ArrayDeque<long[]> unwritten = new java.util.ArrayDeque<>();

        PacedOutput(OutputStream socket) {
            this.socket = socket;
            Kit.thread(this::writeAll);
        }

        @Override
        public void write(int b) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void write(byte[] frame) {
            frames.add(frame);
        }

        private byte[] take() throws InterruptedException {
            byte[] frame = frames.take();
            unwritten.add(new long[] {frame.length, -1});
            return frame;
        }

        private void written(int bytes) {
            int left = bytes;
            while (left > 0) {
                long[] answer = unwritten.peek();
                answer[1] = answer[1] < 0 ? Kit.nowMs() : answer[1];
                int part = (int) Math.min(left, answer[0]);
                left -= part;
                answer[0] -= part;
                if (answer[0] == 0) {
                    longestAnswerMs = Math.max(longestAnswerMs, Kit.nowMs() - answer[1]);
                    unwritten.poll();
                }
            }
        }

        private void writeAll() throws Exception {
            byte[] rest = {};
            long dueNs = System.nanoTime();
            while (true) {
                byte[] next = rest.length == 0 ? take() : rest;
                if (pieceBytes > 0) {
                    // The next answer's begin goes with the end of the one before, as in a buffered stream.
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.writeBytes(next);
                    while (all.size() < pieceBytes && !frames.isEmpty()) {
                        all.writeBytes(take());
                    }
                    next = all.toByteArray();
                }
                int length = pieceBytes > 0 ? Math.min(pieceBytes, next.length) : next.length;
                if (bytesPerMs > 0) {
                    dueNs = Math.max(dueNs, System.nanoTime()) + 1_000_000L * length / bytesPerMs;
                    Thread.sleep(Math.max(0, (dueNs - System.nanoTime()) / 1_000_000));
                }
                socket.write(next, 0, length);
                socket.flush();
                written(length);
                rest = java.util.Arrays.copyOfRange(next, length, next.length);
            }
        }
    }

    private void request(byte[] frame, OutputStream out, List<Run> here) {
        int at = 1;
        while (at < frame.length) {
            int lineEnd = at;
            while (frame[lineEnd] != '\n') {
                lineEnd++;
            }
            String[] line = text(frame, at, lineEnd).split(" ");
            int length = Integer.parseInt(line[3]);
            String query = text(frame, lineEnd + 1, lineEnd + 1 + length);
            at = lineEnd + 1 + length;
            String key = "-";
            for (String item : line[2].split(",")) {
                key = item.startsWith("k=") ? item.substring(2) : key;
            }
            Run run = new Run(line[0], Integer.parseInt(line[1]), key, Kit.nowMs());
            runs.add(run);
            here.add(run);
            Kit.record("node " + uid + ": part " + run.id + " arrives, " + line[2] + ", text " + query);
            Kit.thread(() -> {
                Thread.sleep(workMs.applyAsLong(query));
                synchronized (out) {
                    if (!end(run, "answered")) {
                        return;
                    }
                    byte[] head = (run.id + " OK 0 -\n").getBytes(StandardCharsets.US_ASCII);
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    body.writeBytes(head);
                    body.writeBytes(valueOf(run.id).getBytes(StandardCharsets.US_ASCII));
                    body.writeBytes("+".repeat(padding).getBytes(StandardCharsets.US_ASCII));
                    send(out, 'Y', body.toByteArray());
                }
            });
        }
    }

    /** The value that belongs to a part. */
    static String valueOf(String partId) {
        return "value-of-" + partId;
    }

    void giveUp(String id, List<Run> here) {
        for (Run run : List.copyOf(here)) {
            if (run.id.equals(id)) {
                end(run, "given up");
            }
        }
    }

    boolean end(Run run, String how) {
        synchronized (run) {
            if (!run.end.equals("open")) {
                return false;
            }
            run.endedMs = Kit.nowMs();
            run.end = how;
        }
        Kit.record("node " + uid + ": part " + run.id + " " + how);
        return true;
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }

    private static void send(OutputStream out, char letter, byte[] rest) throws IOException {
        byte[] frame = new byte[5 + rest.length];
        int length = 1 + rest.length;
        frame[0] = (byte) (length >>> 24);
        frame[1] = (byte) (length >>> 16);
        frame[2] = (byte) (length >>> 8);
        frame[3] = (byte) length;
        frame[4] = (byte) letter;
        System.arraycopy(rest, 0, frame, 5, rest.length);
        synchronized (out) {
            out.write(frame);
            out.flush();
        }
    }
}
