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
public final class EmulatedLine {
    /**
     * One direction of a line.
     *
     * @param jitterUs is added evenly from 0 to this
     * @param bytesPerS 0 for no bound
     */
    public record Way(long delayUs, long jitterUs, long bytesPerS) {}

    private final Ground ground;
    private final Network.ListeningSocket listening;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final Set<Pair> pairs = new HashSet<>();
    private Way there;
    private Way back;
    private InetSocketAddress to;
    private boolean cut;
    private boolean silentThere;
    private boolean silentBack;
    /** The chance that one byte of a chunk is changed. */
    private double noise;
    /** It is cut once so many more bytes have gone there, or back; below 0 not at all. */
    private long cutAfterThere = -1;

    private long cutAfterBack = -1;
    private long mends;
    private final Histogram timesThere = new Histogram(60_000_000, 3);
    private final Histogram timesBack = new Histogram(60_000_000, 3);

    public EmulatedLine(Ground ground, Way there, Way back, long seed) throws IOException {
        this.ground = ground;
        this.there = there;
        this.back = back;
        random = new SplittableRandom(seed);
        listening = ground.listen(Ground.loopback(0), Pair::new);
        address = listening.address();
    }

    public InetSocketAddress address() {
        return address;
    }

    /** What it has cost bytes to cross, each way, since it was made; with what went before them. */
    public void addTimes(Histogram there, Histogram back) {
        ground.run(() -> {
            there.add(timesThere);
            back.add(timesBack);
        });
    }

    /** Where it leads from now on. */
    public void to(InetSocketAddress where) {
        ground.run(() -> to = where);
    }

    public void ways(Way there, Way back) {
        ground.run(() -> {
            this.there = there;
            this.back = back;
        });
    }

    /** Breaks all connections, and each new one at once, until it is mended. */
    public void cut() {
        ground.run(this::cutNow);
    }

    private void cutNow() {
        cut = true;
        cutAfterThere = -1;
        cutAfterBack = -1;
        List.copyOf(pairs).forEach(Pair::end);
    }

    /** Breaks all connections; new ones go through. */
    public void snap() {
        ground.run(() -> List.copyOf(pairs).forEach(Pair::end));
    }

    public void mend() {
        ground.run(() -> {
            cut = false;
            cutAfterThere = -1;
            cutAfterBack = -1;
            mends++;
            boolean was = silentThere || silentBack;
            silentThere = false;
            silentBack = false;
            noise = 0;
            if (was) {
                List.copyOf(pairs).forEach(Pair::end); // What was swallowed can't be made good.
            }
        });
    }

    /** What goes that way is swallowed; nothing breaks. */
    public void silent(boolean there, boolean back) {
        ground.run(() -> {
            silentThere = there;
            silentBack = back;
        });
    }

    public void noise(double chance) {
        ground.run(() -> noise = chance);
    }

    /** Cut when so many more bytes have gone; -1 for never. */
    public void cutAfter(long bytesThere, long bytesBack) {
        ground.run(() -> {
            cutAfterThere = bytesThere;
            cutAfterBack = bytesBack;
        });
    }

    /** One connection: two links and what is between them. */
    private final class Pair implements Ground.Owner {
        private final Half far = new Half(false);
        private Connection near;
        private long freeThere;
        private long freeBack;
        private boolean over;

        private final class Half implements Connection.Listener {
            private final boolean there;
            private Connection link;
            private final List<byte[]> early = new ArrayList<>();

            Half(boolean there) {
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
                carry(in, there);
            }

            @Override
            public void connectionClosed(CloseReason closeReason) {
                later(there, Pair.this::end);
            }
        }

        @Override
        public void on(Connection link) {
            near = link;
            pairs.add(this);
            try {
                if (cut || to == null) {
                    end();
                } else {
                    far.link = ground.network.connect(to, far);
                }
            } catch (IOException e) {
                end();
            }
        }

        @Override
        public void bytesReceived(RingBuffer in) {
            carry(in, true);
        }

        @Override
        public void connectionClosed(CloseReason closeReason) {
            later(true, this::end);
        }

        private void carry(RingBuffer in, boolean there) {
            while (in.size() > 0 && !over) {
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
                if (there ? silentThere : silentBack) {
                    continue;
                }
                if (b.length > 0 && noise > 0 && random.nextDouble() < noise) {
                    b[random.nextInt(b.length)] ^= (byte) (1 + random.nextInt(255));
                }
                byte[] piece = b;
                later(there, piece.length, () -> {
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
                    long before = mends;
                    later(
                            there,
                            0,
                            () -> { // Once what came before has arrived.
                                if (mends == before) {
                                    cutNow();
                                }
                            });
                }
            }
        }

        private void later(boolean there, Runnable what) {
            later(there, 0, what);
        }

        private void later(boolean there, int bytes, Runnable what) {
            Way w = there ? EmulatedLine.this.there : back;
            long free = there ? freeThere : freeBack;
            long at = Math.max(
                            free,
                            ground.now()
                                    + w.delayUs()
                                    + (w.jitterUs() > 0 ? random.nextLong(w.jitterUs()) : 0))
                    + (w.bytesPerS() > 0 ? 1_000_000L * bytes / w.bytesPerS() : 0);
            freeThere = there ? at : freeThere;
            freeBack = there ? freeBack : at;
            long from = ground.now();
            ground.at(at, () -> {
                if (bytes > 0) {
                    (there ? timesThere : timesBack)
                            .recordValue(Math.min(ground.now() - from, 59_000_000));
                }
                if (!over) {
                    what.run();
                }
            });
        }

        void end() {
            over = true;
            pairs.remove(this);
            near.close(CloseReason.DONE);
            if (far.link != null) {
                far.link.close(CloseReason.DONE);
            }
        }
    }
}
