package tinlink.emulator;

import org.HdrHistogram.Histogram;

import tinlink.net.CloseReason;
import tinlink.net.Connection;
import tinlink.net.Network;
import tinlink.net.RingBuffer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A line between two sites: takes connections at an address of its own and carries their bytes to
 * another, later. Each way has a delay with jitter (bytes never overtake each other) and a
 * bandwidth. It can be cut, go silent in one or both ways, change bytes, and be cut at a chosen
 * byte.
 */
public final class EmulatedLink {
    /**
     * One direction of a line.
     *
     * @param jitterUs is added evenly from 0 to this
     * @param bytesPerS 0 for no bound
     */
    public record LinkConditions(long delayUs, long jitterUs, long bytesPerS) {}

    private final EmulatorLoop emulatorLoop;
    private final Network.ListeningSocket listening;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final Set<ProxiedConnection> pairs = new HashSet<>();
    private LinkConditions there;
    private LinkConditions back;
    private InetSocketAddress target;
    private boolean cut;
    private boolean blackholeThere;
    private boolean blackholeBack;
    /** The chance that one byte of a chunk is changed. */
    private double corruptionRate;
    /** It is cut once so many more bytes have gone there, or back; below 0 not at all. */
    private long cutAfterThere = -1;

    private long cutAfterBack = -1;
    private long heals;
    private final Histogram timesThere = new Histogram(60_000_000, 3);
    private final Histogram timesBack = new Histogram(60_000_000, 3);

    public EmulatedLink(
            EmulatorLoop emulatorLoop, LinkConditions there, LinkConditions back, long seed)
            throws IOException {
        this.emulatorLoop = emulatorLoop;
        this.there = there;
        this.back = back;
        random = new SplittableRandom(seed);
        listening = emulatorLoop.listen(EmulatorLoop.loopback(0), ProxiedConnection::new);
        address = listening.address();
    }

    public InetSocketAddress address() {
        return address;
    }

    /** What it has cost bytes to cross, each way, since it was made; with what went before them. */
    public void addTransitTimes(Histogram there, Histogram back) {
        emulatorLoop.run(() -> {
            there.add(timesThere);
            back.add(timesBack);
        });
    }

    /** Where it leads from now on. */
    public void target(InetSocketAddress where) {
        emulatorLoop.run(() -> target = where);
    }

    public void conditions(LinkConditions there, LinkConditions back) {
        emulatorLoop.run(() -> {
            this.there = there;
            this.back = back;
        });
    }

    /** Breaks all connections, and each new one at once, until it is mended. */
    public void cut() {
        emulatorLoop.run(this::cutNow);
    }

    private void cutNow() {
        cut = true;
        cutAfterThere = -1;
        cutAfterBack = -1;
        List.copyOf(pairs).forEach(ProxiedConnection::closeBoth);
    }

    /** Breaks all connections; new ones go through. */
    public void resetConnections() {
        emulatorLoop.run(() -> List.copyOf(pairs).forEach(ProxiedConnection::closeBoth));
    }

    public void heal() {
        emulatorLoop.run(() -> {
            cut = false;
            cutAfterThere = -1;
            cutAfterBack = -1;
            heals++;
            boolean was = blackholeThere || blackholeBack;
            blackholeThere = false;
            blackholeBack = false;
            corruptionRate = 0;
            if (was) {
                List.copyOf(pairs)
                        .forEach(
                                ProxiedConnection
                                        ::closeBoth); // What was swallowed can't be made good.
            }
        });
    }

    /** What goes that way is swallowed; nothing breaks. */
    public void blackhole(boolean there, boolean back) {
        emulatorLoop.run(() -> {
            blackholeThere = there;
            blackholeBack = back;
        });
    }

    public void corruptionRate(double chance) {
        emulatorLoop.run(() -> corruptionRate = chance);
    }

    /** Cut when so many more bytes have gone; -1 for never. */
    public void cutAfter(long bytesThere, long bytesBack) {
        emulatorLoop.run(() -> {
            cutAfterThere = bytesThere;
            cutAfterBack = bytesBack;
        });
    }

    /** One connection: two links and what is between them. */
    private final class ProxiedConnection implements EmulatorLoop.ConnectionHandler {
        private final TargetHandler far = new TargetHandler(false);
        private Connection near;
        private long freeThere;
        private long freeBack;
        private boolean closed;

        private final class TargetHandler implements Connection.Listener {
            private final boolean there;
            private Connection link;
            private final List<byte[]> early = new ArrayList<>();

            TargetHandler(boolean there) {
                this.there = there;
            }

            @Override
            public void connected() {
                early.forEach(b -> link.out().put(b));
                early.clear();
                link.scheduleWrite();
            }

            @Override
            public void bytesReceived(RingBuffer in) {
                relay(in, there);
            }

            @Override
            public void connectionClosed(CloseReason closeReason) {
                scheduleArrival(there, ProxiedConnection.this::closeBoth);
            }
        }

        @Override
        public void connectionAccepted(Connection link) {
            near = link;
            pairs.add(this);
            try {
                if (cut || target == null) {
                    closeBoth();
                } else {
                    far.link = emulatorLoop.network.connect(target, far);
                }
            } catch (IOException e) {
                closeBoth();
            }
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            relay(in, true);
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            scheduleArrival(true, this::closeBoth);
        }

        private void relay(RingBuffer in, boolean there) {
            while (in.size() > 0 && !closed) {
                ByteBuffer run = in.takeContiguous(in.size());
                byte[] b = new byte[run.remaining()];
                run.get(b);
                long left = there ? cutAfterThere : cutAfterBack;
                boolean last = left >= 0 && b.length >= left;
                if (last) {
                    b = java.util.Arrays.copyOf(b, (int) left);
                } else if (left >= 0) {
                    cutAfterThere -= there ? b.length : 0;
                    cutAfterBack -= there ? 0 : b.length;
                }
                if (there ? blackholeThere : blackholeBack) {
                    continue;
                }
                if (b.length > 0 && corruptionRate > 0 && random.nextDouble() < corruptionRate) {
                    b[random.nextInt(b.length)] ^= (byte) (1 + random.nextInt(255));
                }
                byte[] piece = b;
                scheduleArrival(there, piece.length, () -> {
                    if (there && !far.link.isUp() && !far.link.isClosed()) {
                        far.early.add(piece);
                    } else if (!(there ? far.link : near).isClosed()) {
                        Connection to = there ? far.link : near;
                        to.out().put(piece);
                        to.scheduleWrite();
                    }
                });
                if (last) {
                    cutAfterThere = -1;
                    cutAfterBack = -1;
                    cut = true;
                    long before = heals;
                    scheduleArrival(
                            there,
                            0,
                            () -> { // Once what came before has arrived.
                                if (heals == before) {
                                    cutNow();
                                }
                            });
                }
            }
        }

        private void scheduleArrival(boolean there, Runnable what) {
            scheduleArrival(there, 0, what);
        }

        private void scheduleArrival(boolean there, int bytes, Runnable what) {
            LinkConditions w = there ? EmulatedLink.this.there : back;
            long free = there ? freeThere : freeBack;
            long at = Math.max(
                            free,
                            emulatorLoop.now()
                                    + w.delayUs()
                                    + (w.jitterUs() > 0 ? random.nextLong(w.jitterUs()) : 0))
                    + (w.bytesPerS() > 0 ? 1_000_000L * bytes / w.bytesPerS() : 0);
            freeThere = there ? at : freeThere;
            freeBack = there ? freeBack : at;
            long from = emulatorLoop.now();
            emulatorLoop.schedule(at, () -> {
                if (bytes > 0) {
                    (there ? timesThere : timesBack)
                            .recordValue(Math.min(emulatorLoop.now() - from, 59_000_000));
                }
                if (!closed) {
                    what.run();
                }
            });
        }

        void closeBoth() {
            closed = true;
            pairs.remove(this);
            near.close(CloseReason.COMPLETED);
            if (far.link != null) {
                far.link.close(CloseReason.COMPLETED);
            }
        }
    }
}
