package tinlink.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedClient.Answer;
import tinlink.emulator.EmulatedClient.Ask;

/**
 * Asks the routers of an emulation at times that were fixed beforehand, whether answers come or not, and
 * keeps what came of each against the time when it was due (so a router that stands still is charged for all
 * who wait).
 */
final class Load {
    /** An index: its name, its effect, and for a fingerprinted one the window of its key. */
    record Kind(String name, boolean keyed, boolean onceOnly, long windowUs, double floor) {
        boolean idempotent() {
            return !keyed && !onceOnly;
        }
    }

    /** One lookup and what came of it. */
    static final class Asked {
        final Ask ask;
        final Kind kind;
        final TwoSites.Running at;
        /** All of its parts are held at the site where it was asked. */
        final boolean near;
        long dueUs;
        Answer answer;
        /** Its router was killed while it was open, or its client left: it is owed nothing more. */
        boolean gone;

        Asked(Ask ask, Kind kind, TwoSites.Running at, boolean near) {
            this.ask = ask;
            this.kind = kind;
            this.at = at;
            this.near = near;
        }

        long tookUs() {
            return answer.atUs() - dueUs;
        }

        boolean satisfied() {
            return answer != null && answer.status() == 200;
        }

        boolean nacked() {
            return answer != null && (answer.status() == 429 || answer.status() == 503);
        }
    }

    private final TwoSites world;
    private final List<Asked> all = new ArrayList<>();
    private final Map<TwoSites.Running, List<Asked>> open = new LinkedHashMap<>();

    Load(TwoSites world) {
        this.world = world;
    }

    /**
     * Fixes the lookups of so many seconds: Poisson arrivals at each router.
     *
     * @param farShare of lookups that have a part held at the other site alone
     */
    void run(SplittableRandom random, String name, double seconds, double perSecond, List<Kind> kinds,
             double farShare, long budgetMs) {
        long from = world.ground.on(world.ground::now) + 20_000;
        int n = 0;
        for (TwoSites.Running r : world.routers.values()) {
            List<Integer> near = r.site.nodes.stream().map(x -> x.cell).distinct().toList();
            List<Integer> far = world.sites.values().stream().filter(s -> s != r.site)
                    .flatMap(s -> s.nodes.stream()).map(x -> x.cell).distinct().filter(c ->
                    !near.contains(c)).toList();
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / perSecond;
                if (at >= seconds) {
                    break;
                }
                boolean crosses = random.nextDouble() < farShare;
                Kind kind = kinds.get(random.nextInt(kinds.size()));
                List<Integer> shards = new ArrayList<>(pick(random, near, crosses ? random.nextInt(2)
                        : 1 + random.nextInt(2)));
                if (crosses) {
                    shards.addAll(pick(random, far, 1));
                }
                String id = name + "-" + r.name + "-" + n++;
                Asked a = new Asked(new Ask(id, kind.name(), budgetMs, shards, "t" + id,
                        kind.keyed() ? "k" + id : null), kind, r, !crosses);
                a.dueUs = from + Math.round(at * 1e6);
                all.add(a);
            }
        }
        world.ground.run(() -> all.stream().filter(a -> a.dueUs >= from).forEach(a ->
                world.ground.at(a.dueUs, () -> send(a))));
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
        a.at.clients.ask(a.ask, answer -> {
            a.answer = answer;
            with.remove(a);
        });
    }

    /** Before a router is killed: those open there have lost their router, whatever it does. */
    void killed(TwoSites.Running r) {
        world.ground.run(() -> open.getOrDefault(r, List.of()).forEach(a -> a.gone = true));
    }

    /** Lookups that came while their router was away find nobody; they count as those of a killed one. */
    void away(TwoSites.Running r, long fromUs, long toUs) {
        world.ground.run(() -> all.stream().filter(a -> a.at == r && a.dueUs >= fromUs && a.dueUs <= toUs)
                .forEach(a -> a.gone = true));
    }

    /** Waits until all have come to an end, or can't any more. */
    void await(long mostMs) throws InterruptedException {
        for (long i = 0; i < mostMs / 20; i++) {
            if (world.ground.on(() -> all.stream().allMatch(a -> a.answer != null))) {
                return;
            }
            Thread.sleep(20);
        }
    }

    List<Asked> asked(Predicate<Asked> which) {
        return world.ground.on(() -> all.stream().filter(which).toList());
    }
}
