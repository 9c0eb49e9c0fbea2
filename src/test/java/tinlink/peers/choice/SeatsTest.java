package tinlink.peers.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tinlink.peers.choice.Entry.May;
import tinlink.peers.choice.Entry.Reached;

/** Who may vote, and who takes whose seat. */
class SeatsTest {
    private static final Map<String, String> SEATED = new TreeMap<>(Map.of("r1", "0", "r2", "0", "r3", "0"));

    private static Seats.Change next(Map<String, String> seated, Map<String, String> shown,
                                     Map<String, String> replaced) {
        return Seats.next(new TreeMap<>(seated), new TreeMap<>(shown), new TreeMap<>(replaced), 3);
    }

    @Test
    void aLostDiskGivesItsSeatToTheNewOneInTwoSteps() {
        Map<String, String> shown = Map.of("r1", "0", "r2", "7", "r3", "0");
        assertEquals(new Seats.Change("r2/0", null), next(SEATED, shown, Map.of()));
        assertEquals(new Seats.Change(null, "r2/7"), next(Map.of("r1", "0", "r3", "0"), shown, Map.of()));
        assertNull(next(Map.of("r1", "0", "r2", "7", "r3", "0"), shown, Map.of()));
    }

    @Test
    void nothingChangesWithoutAMajorityThatIsThere() {
        assertNull(next(SEATED, Map.of("r1", "0", "r2", "7", "r3", "8"), Map.of()));
        assertNull(next(SEATED, Map.of("r1", "0"), Map.of("r2", "r9")));
    }

    @Test
    void anotherRouterTakesASeatByAnOperatorsWordAlone() {
        Map<String, String> shown = Map.of("r1", "0", "r3", "0", "r4", "5");
        assertNull(next(SEATED, shown, Map.of()), "r2 may only be away for a while");
        assertEquals(new Seats.Change("r2/0", null), next(SEATED, shown, Map.of("r2", "r4")));
        Map<String, String> two = Map.of("r1", "0", "r3", "0");
        assertEquals(new Seats.Change(null, "r4/5"), next(two, shown, Map.of("r2", "r4")));
        Map<String, String> back = Map.of("r1", "0", "r2", "0", "r3", "0", "r4", "5");
        assertEquals(new Seats.Change(null, "r4/5"), next(two, back, Map.of("r2", "r4")),
                "it is back too late");
    }

    private static final Life SELF = new Life("r1", 4, 9);
    private static final Reached DISK = new Reached(3, 50);

    private static Entry entry() {
        return new Entry(SELF, DISK, Set.of("r2", "r3", "r4", "r5"));
    }

    @Test
    void aDiskVotesOnceAMajorityKnowsOfNothingLater() {
        Entry e = entry();
        e.answered("r2", new Life("r1", 3, 1), new Reached(3, 50), 0);
        assertEquals(May.NOT_KNOWN, e.at(10_000, 100));
        e.answered("r3", null, null, 10_000);
        assertEquals(May.NOT_KNOWN, e.at(10_099, 100), "each of the others may be the one that knows");
        assertEquals(Set.of("r4", "r5"), e.asks());
        assertEquals(May.VOTE, e.at(10_100, 100));
    }

    @Test
    void oneThatKnowsMoreIsEnoughToHoldItBack() {
        Entry e = entry();
        e.answered("r2", null, null, 0);
        e.answered("r3", null, null, 0);
        e.answered("r4", null, new Reached(3, 51), 0);
        assertEquals(May.OLD, e.at(1000, 100));
        Entry term = entry();
        term.answered("r2", null, new Reached(4, 0), 0);
        assertEquals(May.OLD, term.may());
        Entry later = entry();
        later.answered("r2", new Life("r1", 5, 1), null, 0);
        assertEquals(May.OLD, later.may());
        Entry twin = entry();
        twin.answered("r2", new Life("r1", 4, 8), null, 0);
        assertEquals(May.TWIN, twin.may());
    }

    @Test
    void whoIsNoVoterHasNoSay() {
        Entry e = entry();
        e.answered("r9", new Life("r1", 5, 1), null, 0);
        assertEquals(May.NOT_KNOWN, e.may());
        assertEquals(May.VOTE, new Entry(SELF, DISK, Set.of()).may());
    }
}
