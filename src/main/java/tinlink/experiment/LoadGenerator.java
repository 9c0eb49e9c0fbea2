package tinlink.experiment;

import tinlink.emulator.EmulatedClient.LookupRequest;
import tinlink.emulator.EmulatedClient.LookupResponse;
import tinlink.emulator.EmulatorLoop;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Asks the routers of an emulation at times that were fixed beforehand, whether answers come or
 * not, and keeps what came of each against the time when it was due (so a router that stands still
 * is charged for all who wait).
 */
public final class LoadGenerator {
    /** Where lookups are asked. */
    public interface LookupTarget {
        String name();

        /** Cells that are held where it is, and those that are not. */
        List<Integer> localCells();

        List<Integer> remoteCells();

        /**
         * Sends a lookup.
         *
         * @param hears of the end, once, on the emulation's thread
         */
        void send(LookupRecord a, Consumer<LookupResponse> hears);
    }

    /** An index: its name, its effect, and for a fingerprinted one the window of its key. */
    public record LookupKind(
            String name, boolean keyed, boolean onceOnly, long windowUs, double floor) {
        public boolean isIdempotent() {
            return !keyed && !onceOnly;
        }
    }

    /** One lookup and what came of it. */
    public static final class LookupRecord {
        public final LookupRequest ask;
        public final LookupKind kind;
        final LookupTarget at;
        /** All of its parts are held at the site where it was asked. */
        final boolean local;

        public long dueUs;
        public LookupResponse answer;
        /** Its router was killed while it was open, or its client left: it is owed nothing more. */
        public boolean excused;

        LookupRecord(LookupRequest ask, LookupKind kind, LookupTarget at, boolean near) {
            this.ask = ask;
            this.kind = kind;
            this.at = at;
            this.local = near;
        }

        public long latencyUs() {
            return answer.atUs() - dueUs;
        }

        public boolean isSatisfied() {
            return answer != null && answer.status() == 200;
        }

        public boolean isRejected() {
            return answer != null && (answer.status() == 429 || answer.status() == 503);
        }
    }

    private final EmulatorLoop emulatorLoop;
    private final Collection<? extends LookupTarget> askers;
    private final List<LookupRecord> all = new ArrayList<>();
    private final Map<LookupTarget, List<LookupRecord>> open = new LinkedHashMap<>();

    public LoadGenerator(EmulatorLoop emulatorLoop, Collection<? extends LookupTarget> askers) {
        this.emulatorLoop = emulatorLoop;
        this.askers = askers;
    }

    /**
     * Fixes the lookups of so many seconds: Poisson arrivals at each router.
     *
     * @param farShare of lookups that have a part held at the other site alone
     */
    public void run(
            SplittableRandom random,
            String name,
            double seconds,
            double perSecond,
            List<LookupKind> kinds,
            double farShare,
            long budgetMs) {
        long from = emulatorLoop.call(emulatorLoop::now) + 20_000;
        int n = 0;
        for (LookupTarget r : askers) {
            List<Integer> near = r.localCells();
            List<Integer> far = r.remoteCells();
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / perSecond;
                if (at >= seconds) {
                    break;
                }
                boolean crosses = random.nextDouble() < farShare;
                LookupKind kind = kinds.get(random.nextInt(kinds.size()));
                List<Integer> shards = new ArrayList<>(
                        pick(random, near, crosses ? random.nextInt(2) : 1 + random.nextInt(2)));
                if (crosses) {
                    shards.addAll(pick(random, far, 1));
                }
                String id = name + "-" + r.name() + "-" + n++;
                LookupRecord a = new LookupRecord(
                        new LookupRequest(
                                id,
                                kind.name(),
                                budgetMs,
                                shards,
                                "t" + id,
                                kind.keyed() ? "k" + id : null),
                        kind,
                        r,
                        !crosses);
                a.dueUs = from + Math.round(at * 1e6);
                all.add(a);
            }
        }
        emulatorLoop.run(() -> all.stream()
                .filter(a -> a.dueUs >= from)
                .forEach(a -> emulatorLoop.schedule(a.dueUs, () -> send(a))));
    }

    private static List<Integer> pick(SplittableRandom random, List<Integer> from, int n) {
        List<Integer> left = new ArrayList<>(from);
        List<Integer> some = new ArrayList<>();
        while (some.size() < n && !left.isEmpty()) {
            some.add(left.remove(random.nextInt(left.size())));
        }
        return some;
    }

    private void send(LookupRecord a) {
        List<LookupRecord> with = open.computeIfAbsent(a.at, r -> new ArrayList<>());
        with.add(a);
        a.at.send(a, answer -> {
            a.answer = answer;
            with.remove(a);
        });
    }

    /** Before a router is killed: those open there have lost their router, whatever it does. */
    void routerKilled(LookupTarget r) {
        emulatorLoop.run(() -> open.getOrDefault(r, List.of()).forEach(a -> a.excused = true));
    }

    /**
     * Lookups that came while their router was away find nobody; they count as those of a killed
     * one.
     */
    void routerAway(LookupTarget r, long fromUs, long toUs) {
        emulatorLoop.run(() -> all.stream()
                .filter(a -> a.at == r && a.dueUs >= fromUs && a.dueUs <= toUs)
                .forEach(a -> a.excused = true));
    }

    /** Waits until all have come to an end, or can't any more. */
    public void await(long mostMs) throws InterruptedException {
        for (long i = 0; i < mostMs / 20; i++) {
            if (emulatorLoop.call(() -> all.stream().allMatch(a -> a.answer != null))) {
                return;
            }
            Thread.sleep(20);
        }
    }

    public List<LookupRecord> records(Predicate<LookupRecord> which) {
        return emulatorLoop.call(() -> all.stream().filter(which).toList());
    }
}
