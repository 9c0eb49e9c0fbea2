package tinlink.experiment.scale;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.apache.commons.statistics.distribution.LogNormalDistribution;

import tinlink.net.EventLog;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;

/**
 * Data nodes of the serving measurement: thousands in this process, each listening at a port of its
 * own, served by a few selector threads. Each part call is answered after a service time drawn from
 * a log-normal distribution.
 *
 * <p>{@link tinlink.emulator.EmulatedNode} records every run and can be told to fail in many ways.
 * At the rates measured here that bookkeeping would cost more than the router under test, so these
 * nodes only answer and count.
 */
final class ServingNodes implements AutoCloseable {
    /** The distribution of the time from reading a part call to answering it. */
    record ServiceTimes(double medianUs, double sigma) {}

    /** Totals over all nodes since their start. */
    record Counts(
            long partCalls,
            long frames,
            long bytesIn,
            long bytesOut,
            long cancels,
            long connections) {
        Counts minus(Counts before) {
            return new Counts(
                    partCalls - before.partCalls,
                    frames - before.frames,
                    bytesIn - before.bytesIn,
                    bytesOut - before.bytesOut,
                    cancels - before.cancels,
                    connections);
        }
    }

    private static final EventLog LOG = new EventLog("tinlink.experiment");
    private static final int LONGEST_FRAME = 1 << 20;
    private static final int READ_BYTES = 1 << 16;
    /** How long a thread rests while an answer is due within a millisecond. */
    private static final long REST_NS = 50_000;

    private static final long MILLISECOND_NS = 1_000_000;
    private static final byte[] ANSWERED = " OK 1 -\n".getBytes(StandardCharsets.US_ASCII);
    private final LogNormalDistribution times;
    private final byte[] value;
    private final ServingSlowest slowest;
    private final Recorder serviceTimes = new Recorder(3);
    private final LongAdder partCalls = new LongAdder();
    private final LongAdder frames = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder cancels = new LongAdder();
    private final LongAdder connections = new LongAdder();
    private final List<Worker> workers = new ArrayList<>();
    private final InetSocketAddress[] addresses;
    private volatile boolean closed;

    /**
     * @param valueBytes length of the value in each answer
     * @param slowest is told the service time of each part call
     * @param threads among which the nodes are dealt out
     */
    ServingNodes(
            int nodes,
            int threads,
            ServiceTimes times,
            int valueBytes,
            ServingSlowest slowest,
            long seed)
            throws IOException {
        this.times = LogNormalDistribution.of(Math.log(times.medianUs()), times.sigma());
        this.slowest = slowest;
        value = new byte[valueBytes];
        Arrays.fill(value, (byte) 'v');
        addresses = new InetSocketAddress[nodes];
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int i = 0; i < threads; i++) {
            workers.add(new Worker("serving-nodes-" + i, seeds.split()));
        }
        for (int i = 0; i < nodes; i++) {
            addresses[i] = workers.get(i % threads).listen();
        }
        workers.forEach(Thread::start);
    }

    int size() {
        return addresses.length;
    }

    InetSocketAddress address(int node) {
        return addresses[node];
    }

    Counts counts() {
        return new Counts(
                partCalls.sum(),
                frames.sum(),
                bytesIn.sum(),
                bytesOut.sum(),
                cancels.sum(),
                connections.sum());
    }

    /** Service times, in microseconds, of the part calls answered since the last call of this method. */
    Histogram takeServiceTimes() {
        return serviceTimes.getIntervalHistogram();
    }

    @Override
    public void close() {
        closed = true;
        workers.forEach(Worker::end);
    }

    /** An answer that waits for its service time to pass. */
    @SuppressWarnings(
            "ArrayRecordComponent") // Never compared by the bytes, which go out as they are.
    private record Due(long atNs, long readNs, Connection connection, byte[] id)
            implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Long.compare(atNs, other.atNs);
        }
    }

    /** One selector and the connections of its share of the nodes. */
    private final class Worker extends Thread {
        private final Selector selector = Selector.open();
        private final SplittableRandom random;
        private final PriorityQueue<Due> due = new PriorityQueue<>();
        private final List<Connection> unwritten = new ArrayList<>();
        private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
        private final List<ServerSocketChannel> listening = new ArrayList<>();

        Worker(String name, SplittableRandom random) throws IOException {
            super(name);
            setDaemon(true);
            this.random = random;
        }

        InetSocketAddress listen() throws IOException {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            listening.add(server);
            return (InetSocketAddress) server.getLocalAddress();
        }

        @Override
        public void run() {
            try {
                while (!closed) {
                    int ready = await();
                    if (ready > 0) {
                        selector.selectedKeys().forEach(this::handle);
                        selector.selectedKeys().clear();
                    }
                    answerDue();
                    writeAll();
                }
            } catch (IOException e) {
                LOG.logFailure(Level.SEVERE, "emulated_nodes_stopped", e);
            } finally {
                closeAll();
            }
        }

        /** Waits for input, but not past the next answer that is due. @return how many keys are ready */
        private int await() throws IOException {
            if (due.isEmpty()) {
                return selector.select();
            }
            long waitNs = due.peek().atNs - System.nanoTime();
            if (waitNs > MILLISECOND_NS) {
                return selector.select(waitNs / MILLISECOND_NS);
            }
            int ready = selector.selectNow();
            if (ready == 0 && waitNs > 0) {
                LockSupport.parkNanos(Math.min(waitNs, REST_NS));
                return selector.selectNow();
            }
            return ready;
        }

        private void handle(SelectionKey key) {
            try {
                if (key.isAcceptable()) {
                    accept((ServerSocketChannel) key.channel());
                } else if (key.isReadable()) {
                    ((Connection) key.attachment()).read();
                } else if (key.isWritable()) {
                    ((Connection) key.attachment()).write();
                }
            } catch (IOException e) {
                LOG.logFailure(Level.FINE, "emulated_connection_lost", e);
                if (key.attachment() instanceof Connection c) {
                    c.close();
                }
            }
        }

        private void accept(ServerSocketChannel server) throws IOException {
            SocketChannel channel = server.accept();
            if (channel == null) {
                return;
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Connection c = new Connection(this, channel);
            c.key = channel.register(selector, SelectionKey.OP_READ, c);
            connections.increment();
        }

        private void answerDue() {
            long now = System.nanoTime();
            while (!due.isEmpty() && due.peek().atNs <= now) {
                Due d = due.poll();
                if (d.connection.isOpen()) {
                    d.connection.answer(d.id);
                    long tookUs = (System.nanoTime() - d.readNs) / 1000;
                    serviceTimes.recordValue(tookUs);
                    slowest.served(d.id, tookUs);
                }
            }
        }

        private void writeAll() {
            for (Connection c : unwritten) {
                try {
                    c.write();
                } catch (IOException e) {
                    LOG.logFailure(Level.FINE, "emulated_connection_lost", e);
                    c.close();
                }
            }
            unwritten.clear();
        }

        void take(Connection connection, byte[] id) {
            long now = System.nanoTime();
            double us = times.inverseCumulativeProbability(0.0005 + 0.999 * random.nextDouble());
            due.add(new Due(now + Math.round(1000 * us), now, connection, id));
        }

        void end() {
            selector.wakeup();
            try {
                join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void closeAll() {
            for (SelectionKey key : List.copyOf(selector.keys())) {
                closeQuietly(key);
            }
            try {
                selector.close();
            } catch (IOException e) {
                LOG.logFailure(Level.FINE, "selector_close_failed", e);
            }
        }

        private void closeQuietly(SelectionKey key) {
            try {
                key.channel().close();
            } catch (IOException e) {
                LOG.logFailure(Level.FINE, "channel_close_failed", e);
            }
        }
    }

    /** One connection of a router to a node. */
    private final class Connection {
        private final Worker worker;
        private final SocketChannel channel;
        private SelectionKey key;
        /** Bytes of a frame that has not come whole. */
        private byte[] held = new byte[0];

        private byte[] out = new byte[256];
        private int outLength;
        private boolean queued;

        Connection(Worker worker, SocketChannel channel) {
            this.worker = worker;
            this.channel = channel;
        }

        boolean isOpen() {
            return channel.isOpen();
        }

        void read() throws IOException {
            ByteBuffer buffer = worker.readBuffer.clear();
            int count = channel.read(buffer);
            if (count < 0) {
                close();
                return;
            }
            bytesIn.add(count);
            byte[] all = Arrays.copyOf(held, held.length + count);
            buffer.flip().get(all, held.length, count);
            int used = frames(ByteBuffer.wrap(all));
            held = Arrays.copyOfRange(all, used, all.length);
        }

        /** Handles the frames that are whole. @return how many bytes they take */
        private int frames(ByteBuffer all) throws IOException {
            while (all.remaining() >= Integer.BYTES) {
                int length = all.getInt(all.position());
                if (length < 1 || length > LONGEST_FRAME) {
                    throw new IOException("a frame of length " + length);
                }
                if (all.remaining() < Integer.BYTES + length) {
                    break;
                }
                all.position(all.position() + Integer.BYTES);
                frame(all, length);
            }
            return all.position();
        }

        private void frame(ByteBuffer all, int length) throws IOException {
            frames.increment();
            int end = all.position() + length;
            byte letter = all.get();
            if (letter == 'A') {
                cancels.increment(); // The answer is sent all the same; the router knows what to
                // do with it.
            } else if (letter != 'R') {
                throw new IOException("a frame of letter " + letter);
            }
            while (letter == 'R' && all.position() < end) {
                part(all, end);
            }
            all.position(end);
        }

        /** One line, "id shard fields length", and the text behind it. */
        @SuppressWarnings(
                "ByteBufferBackingArray") // The buffer is the connection's own and starts at 0.
        private void part(ByteBuffer all, int end) throws IOException {
            byte[] bytes = all.array();
            int from = all.position();
            int idEnd = find(bytes, from, end, (byte) ' ');
            int lineEnd = find(bytes, idEnd, end, (byte) '\n');
            int textLength = 0;
            for (int at = lineEnd - 1, scale = 1; bytes[at] != ' '; at--, scale *= 10) {
                textLength += scale * (bytes[at] - '0');
            }
            partCalls.increment();
            worker.take(this, Arrays.copyOfRange(bytes, from, idEnd));
            all.position(Math.min(end, lineEnd + 1 + textLength));
        }

        private int find(byte[] bytes, int from, int end, byte what) throws IOException {
            for (int at = from; at < end; at++) {
                if (bytes[at] == what) {
                    return at;
                }
            }
            throw new IOException("a part call without its line");
        }

        void answer(byte[] id) {
            int length = 1 + id.length + ANSWERED.length + value.length;
            if (outLength + Integer.BYTES + length > out.length) {
                out = Arrays.copyOf(out, 2 * (outLength + Integer.BYTES + length));
            }
            ByteBuffer to = ByteBuffer.wrap(out, outLength, Integer.BYTES + length);
            to.putInt(length).put((byte) 'Y').put(id).put(ANSWERED).put(value);
            outLength = to.position();
            if (!queued) {
                queued = true;
                worker.unwritten.add(this);
            }
        }

        void write() throws IOException {
            queued = false;
            if (!isOpen()) {
                return;
            }
            int count = channel.write(ByteBuffer.wrap(out, 0, outLength));
            bytesOut.add(count);
            System.arraycopy(out, count, out, 0, outLength - count);
            outLength -= count;
            key.interestOps(
                    outLength > 0
                            ? SelectionKey.OP_READ | SelectionKey.OP_WRITE
                            : SelectionKey.OP_READ);
        }

        void close() {
            if (isOpen()) {
                connections.decrement();
                try {
                    channel.close();
                } catch (IOException e) {
                    LOG.logFailure(Level.FINE, "channel_close_failed", e);
                }
            }
        }
    }
}
