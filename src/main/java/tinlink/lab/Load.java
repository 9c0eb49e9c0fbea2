package tinlink.lab;

import tinlink.emulator.EmulatedClient.Answer;
import tinlink.emulator.EmulatedClient.Ask;
import tinlink.emulator.Ground;

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
public final class Load {
    /** Where lookups are asked. */
    public interface Asker {
        String name();

        /** Cells that are held where it is, and those that are not. */
        List<Integer> near();

        List<Integer> far();

        /**
         * Sends a lookup.
         *
         * @param hears of the end, once, on the emulation's thread
         */
        void ask(Asked a, Consumer<Answer> hears);
    }

    /** An index: its name, its effect, and for a fingerprinted one the window of its key. */
    public record Kind(String name, boolean keyed, boolean onceOnly, long windowUs, double floor) {
        public boolean idempotent() {
            return !keyed && !onceOnly;
        }
    }

    /** One lookup and what came of it. */
    public static final class Asked {
        public final Ask ask;
        public final Kind kind;
        final Asker at;
        /** All of its parts are held at the site where it was asked. */
        final boolean near;

        public long dueUs;
        public Answer answer;
        /** Its router was killed while it was open, or its client left: it is owed nothing more. */
        public boolean gone;

        Asked(Ask ask, Kind kind, Asker at, boolean near) {
            this.ask = ask;
            this.kind = kind;
            this.at = at;
            this.near = near;
        }

        public long tookUs() {
            return answer.atUs() - dueUs;
        }

        public boolean satisfied() {
            return answer != null && answer.status() == 200;
        }

        public boolean nacked() {
            return answer != null && (answer.status() == 429 || answer.status() == 503);
        }
    }

    private final Ground ground;
    private final Collection<? extends Asker> askers;
    private final List<Asked> all = new ArrayList<>();
    private final Map<Asker, List<Asked>> open = new LinkedHashMap<>();

    public Load(Ground ground, Collection<? extends Asker> askers) {
        this.ground = ground;
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
            List<Kind> kinds,
            double farShare,
            long budgetMs) {
        long from = ground.on(ground::now) + 20_000;
        int n = 0;
        for (Asker r : askers) {
            List<Integer> near = r.near();
            List<Integer> far = r.far();
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / perSecond;
                if (at >= seconds) {
                    break;
                }
                boolean crosses = random.nextDouble() < farShare;
                Kind kind = kinds.get(random.nextInt(kinds.size()));
                List<Integer> shards = new ArrayList<>(
                        pick(random, near, crosses ? random.nextInt(2) : 1 + random.nextInt(2)));
                if (crosses) {
                    shards.addAll(pick(random, far, 1));
                }
                String id = name + "-" + r.name() + "-" + n++;
                Asked a = new Asked(
                        new Ask(
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
        ground.run(() -> all.stream()
                .filter(a -> a.dueUs >= from)
                .forEach(a -> ground.at(a.dueUs, () -> send(a))));
    }

    private static List<Integer> pick(SplittableRandom random, List<Integer> from, int n) {
        List<Integer> left = new ArrayList<>(from);
        List<Integer> some = new ArrayList<>();
        while (some.size() < n && !left.isEmpty()) {
            some.add(left.remove(random.nextInt(left.size())));
        }
        return some;
    }

    private void send(Asked a) {
        List<Asked> with = open.computeIfAbsent(a.at, r -> new ArrayList<>());
        with.add(a);
        a.at.ask(a, answer -> {
            a.answer = answer;
            with.remove(a);
        });
    }

    /** Before a router is killed: those open there have lost their router, whatever it does. */
    void killed(Asker r) {
        ground.run(() -> open.getOrDefault(r, List.of()).forEach(a -> a.gone = true));
    }

    /**
     * Lookups that came while their router was away find nobody; they count as those of a killed
     * one.
     */
    void away(Asker r, long fromUs, long toUs) {
        ground.run(() -> all.stream()
                .filter(a -> a.at == r && a.dueUs >= fromUs && a.dueUs <= toUs)
                .forEach(a -> a.gone = true));
    }

    /** Waits until all have come to an end, or can't any more. */
    public void await(long mostMs) throws InterruptedException {
        for (long i = 0; i < mostMs / 20; i++) {
            if (ground.on(() -> all.stream().allMatch(a -> a.answer != null))) {
                return;
            }
            Thread.sleep(20);
        }
    }

    public List<Asked> asked(Predicate<Asked> which) {
        return ground.on(() -> all.stream().filter(which).toList());
    }
}
