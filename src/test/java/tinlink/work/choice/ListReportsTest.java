package tinlink.work.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import tinlink.cluster.membership.LineCodec;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** Lists of data nodes told as differences, and machines shared out among watchers step by step. */
class ListReportsTest {
    private static final Bounds BOUNDS =
            new Bounds(2, 0.5, 0.5, 1_000_000, 4_000_000, 20_000_000, 100, 10_000);
    private static final long OLD_US = 10_000;

    private static Machine node(String id, String site, int cell) {
        return new Machine(id, Machine.Kind.NODE, cell, "z", site, "m", false);
    }

    private static List<Machine> nodes(int count, String site) {
        return IntStream.range(0, count).mapToObj(i -> node("n" + i, site, 0)).toList();
    }

    /** A leader, and the order as it is agreed on at once. */
    private static final class Fixture {
        final Lead lead = new Lead(BOUNDS, 100, OLD_US, 10_000);
        final Order order = new Order(BOUNDS);
        final List<String> proposed = new ArrayList<>();
        long now = 1000;

        Fixture() {
            lead.leads(true);
            beat();
        }

        /** One beat of the leader's; what it proposes is agreed on. */
        void beat() {
            now += 100;
            lead.clock(now);
            proposed.clear();
            while (lead.decide(order, proposed::add)) {
                // Each is noted.
            }
            proposed.forEach(line -> {
                assertEquals("", order.play(line));
                lead.answered();
            });
        }

        ListDifference report(String site, List<Machine> listed) {
            return ListDifference.between(site, listed, order.agreedNodes());
        }

        void tell(String router, ListDifference difference) {
            lead.told(router, difference.line());
        }

        void tellAll(ListDifference difference) {
            IntStream.range(0, 3).forEach(r -> tell("r" + r, difference));
        }

        Set<String> agreed() {
            Set<String> all = new TreeSet<>();
            order.machines().forEach(m -> all.add(m.id()));
            return all;
        }
    }

    @Test
    void aReportIsReadAsItWasWritten() {
        List<Machine> listed = List.of(node("a", "s0", 1), node("b", "s0", 2), node("x", "s1", 0));
        AgreedNodes agreed = AgreedNodes.of(List.of(node("b", "s0", 1), node("c", "s0", 1)));
        ListDifference difference = ListDifference.between("s0", listed, agreed);
        assertEquals(List.of(node("a", "s0", 1), node("b", "s0", 2)), difference.added());
        assertEquals(Set.of("c"), difference.missing());
        assertEquals(difference, ListDifference.of(LineCodec.decode(difference.line())));
    }

    @Test
    void aReportOverItsBoundsOrCutShortCountsForNothing() {
        List<String> tooMany = new ArrayList<>(List.of(ListDifference.KIND, "s0", "1f", "0"));
        IntStream.range(0, ListDifference.MOST_NODES + 1).forEach(i -> tooMany.add("n" + i));
        assertThrows(IllegalArgumentException.class, () -> ListDifference.of(tooMany));
        List<String> negative = List.of(ListDifference.KIND, "s0", "1f", "-1");
        assertThrows(IllegalArgumentException.class, () -> ListDifference.of(negative));
        Fixture f = new Fixture();
        f.lead.told("r1", ListDifference.KIND + "\ts0");
        f.lead.told("r1", ListDifference.KIND + "\ts0\tnothex\t0");
        f.lead.told("r1", ListDifference.KIND + "\ts0\t0\t5\tmachine");
        f.beat();
        assertEquals(Set.of(), f.agreed());
    }

    /** What the mechanism is for: fails with whole lists, which grow with the nodes. */
    @Test
    void aReportOfNothingNewHasTheSameBytesAtEachNumberOfNodes() {
        int few = steadyReport(100).length();
        int many = steadyReport(3100).length();
        assertTrue(many <= few + 16 && many < 64, few + " and " + many + " characters");
    }

    private static String steadyReport(int count) {
        List<Machine> all = nodes(count, "s0");
        return ListDifference.between("s0", all, AgreedNodes.of(all)).line();
    }

    @Test
    void manyNewNodesComeByAndByAndNoReportIsOverItsBound() {
        Fixture f = new Fixture();
        List<Machine> all = nodes(1000, "s0");
        for (int beat = 0; beat < 40 && f.agreed().size() < all.size(); beat++) {
            for (int r = 0; r < 3; r++) {
                ListDifference report = f.report("s0", all);
                assertTrue(report.added().size() <= ListDifference.MOST_NODES);
                f.tell("r" + r, report);
            }
            f.beat();
            assertTrue(
                    f.proposed.stream().noneMatch(line -> line.contains("gone")), "" + f.proposed);
        }
        assertEquals(all.size(), f.agreed().size());
    }

    @Test
    void oneRouterOfThreeNeitherAddsNorTakesAwayANode() {
        Fixture f = new Fixture();
        List<Machine> all = nodes(3, "s0");
        f.tellAll(f.report("s0", all));
        f.beat();
        assertEquals(3, f.agreed().size());
        f.tellAll(f.report("s0", all));
        List<Machine> other = List.of(all.get(0), all.get(1), node("new", "s0", 0));
        f.beat();
        f.tell("r0", f.report("s0", other));
        f.beat();
        assertEquals(List.of(), f.proposed);
        f.tell("r1", f.report("s0", other));
        f.beat();
        assertEquals(Set.of("n0", "n1", "new"), f.agreed());
    }

    /** Fails without {@code agreedSince}: late reports would take away the node that is back. */
    @Test
    void reportsFromBeforeANodeCameBackDoNotTakeItAway() {
        Fixture f = new Fixture();
        List<Machine> one = nodes(1, "s0");
        List<Machine> two = nodes(2, "s0");
        List<Machine> three = nodes(3, "s0");
        f.tellAll(f.report("s0", two));
        f.beat();
        f.beat();
        ListDifference late = f.report("s0", one);
        assertEquals(Set.of("n1"), late.missing());
        f.tellAll(late);
        f.beat();
        assertEquals(Set.of("n0"), f.agreed());
        f.beat();
        f.tellAll(f.report("s0", three));
        f.beat();
        assertEquals(Set.of("n0", "n1", "n2"), f.agreed());
        f.beat();
        f.tellAll(late);
        f.beat();
        assertEquals(Set.of("n0", "n1", "n2"), f.agreed());
        f.tellAll(f.report("s0", one));
        f.beat();
        assertEquals(Set.of("n0"), f.agreed());
    }

    @Test
    void aReportAgainstAnUnknownSetCountsForNothingAndSilenceTakesNothingAway() {
        Fixture f = new Fixture();
        List<Machine> all = nodes(2, "s0");
        f.tellAll(f.report("s0", all));
        f.beat();
        f.now += 2 * OLD_US;
        f.beat();
        ListDifference strange = new ListDifference("s0", 77, List.of(), Set.of("n0", "n1"));
        f.tellAll(strange);
        f.beat();
        assertEquals(Set.of("n0", "n1"), f.agreed());
    }

    @Test
    void routersThatTellWholeListsAndSuchThatTellDifferencesCountAlike() {
        Fixture f = new Fixture();
        List<Machine> all = nodes(2, "s0");
        f.lead.told("old", Lead.listWords("s0", all));
        f.tell("new", f.report("s0", all));
        f.beat();
        assertEquals(2, f.agreed().size());
        f.beat();
        f.lead.told("old", Lead.listWords("s0", all.subList(0, 1)));
        f.tell("new", f.report("s0", all));
        f.beat();
        assertEquals(2, f.agreed().size(), "one of two");
        f.tell("new", f.report("s0", all.subList(0, 1)));
        f.beat();
        assertEquals(Set.of("n0"), f.agreed());
    }

    /** Reports get lost, come late and come twice; once all is quiet what is agreed on is the list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whatIsAgreedOnComesToBeTheList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fixture f = new Fixture();
        List<ListDifference> underway = new ArrayList<>();
        Set<String> listed = new TreeSet<>();
        for (int beat = 0; beat < 400; beat++) {
            if (beat < 300 && random.nextInt(4) == 0) {
                String id = "n" + random.nextInt(300);
                if (!listed.add(id)) {
                    listed.remove(id);
                }
            }
            List<Machine> list = listed.stream().map(id -> node(id, "s0", 0)).toList();
            for (int r = 0; r < 5; r++) {
                underway.add(f.report("s0", list));
                boolean lost = beat < 300 && random.nextInt(3) == 0;
                if (!lost) {
                    boolean late = beat < 300 && random.nextInt(3) == 0;
                    int at = late ? random.nextInt(underway.size()) : underway.size() - 1;
                    f.tell("r" + r, underway.get(at));
                }
            }
            while (underway.size() > 20) {
                underway.remove(0);
            }
            f.beat();
        }
        assertEquals(listed, f.agreed());
    }

    /** Kept up step by step it is what the rule says of the whole. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void machinesAreSharedOutStepByStepAsAllAtOnce(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WatchAssignment assignment = new WatchAssignment("r0", 3);
        Set<String> routers = new HashSet<>();
        Set<String> machines = new HashSet<>();
        for (int step = 0; step < 200; step++) {
            flip(random.nextInt(2) == 0 ? routers : machines, "r" + random.nextInt(30));
            flip(machines, "n" + random.nextInt(60));
            if (random.nextInt(3) > 0) {
                assignment.routers(routers);
                assignment.machines(machines);
                for (String machine : machines) {
                    assertEquals(
                            Watch.watches("r0", routers, machine, 3),
                            assignment.watches(machine),
                            machine + " at step " + step);
                }
                assertFalse(assignment.watches("not a machine"));
            }
        }
    }

    private static void flip(Set<String> set, String element) {
        if (!set.add(element)) {
            set.remove(element);
        }
    }
}
