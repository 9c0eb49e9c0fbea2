package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** The checks of the rig are seen to bite, and to let pass what is right. */
class MaintenanceChecksTest {
    private final List<MachineHistory.Event> events = new ArrayList<>();
    private long at;

    private void then(MachineHistory.EventKind what, String machine, String request) {
        events.add(new MachineHistory.Event(at += 1_000_000, what, machine, request));
    }

    private MaintenanceChecks checked() {
        List<MaintenanceChecks.MachinePlacement> spots = new ArrayList<>();
        for (int b = 0; b < 3; b++) {
            for (int h = 0; h < 3; h++) {
                spots.add(new MaintenanceChecks.MachinePlacement(
                        "n" + b + h, b, "z" + h, h < 2 ? "s0" : "s1", false));
            }
        }
        for (int r = 0; r < 6; r++) {
            spots.add(new MaintenanceChecks.MachinePlacement(
                    "r" + r, -1, "z" + r % 3, r % 3 < 2 ? "s0" : "s1", r < 5));
        }
        MaintenanceChecks c =
                new MaintenanceChecks(spots, new MaintenanceChecks.Limits(2, 0.5, 3_000_000));
        c.check(events);
        return c;
    }

    private static String counts(MaintenanceChecks c) {
        return c.belowFloor.size() + " " + c.bothOut.size() + " " + c.doubleGrant.size();
    }

    @Test
    void oneOfABlockAfterTheOtherAndOneRouterArePermitted() {
        then(MachineHistory.EventKind.TAKEN, "n00", "a");
        then(MachineHistory.EventKind.TAKEN, "r0", "b");
        then(MachineHistory.EventKind.GIVEN_BACK, "n00", "a");
        then(MachineHistory.EventKind.TAKEN, "n01", "c");
        assertEquals("0 0 0", counts(checked()));
    }

    @Test
    void twoOfABlockAreSeen() {
        then(MachineHistory.EventKind.TAKEN, "n00", "a");
        then(MachineHistory.EventKind.TAKEN, "n01", "b");
        assertEquals("1 1 0", counts(checked()));
    }

    @Test
    void oneMachineForTwoIsSeen() {
        then(MachineHistory.EventKind.TAKEN, "n00", "a");
        then(MachineHistory.EventKind.TAKEN, "n00", "b");
        assertEquals(1, checked().doubleGrant.size());
    }

    @Test
    void aHolderTakenWhileAnotherHasLongFailedIsSeenAndOneThatHasJustFailedIsNobodysFault() {
        then(MachineHistory.EventKind.FAILED, "n01", "");
        then(MachineHistory.EventKind.TAKEN, "n00", "a");
        assertEquals("0 0 0", counts(checked()));
        then(MachineHistory.EventKind.GIVEN_BACK, "n00", "a");
        at += 3_000_000;
        then(MachineHistory.EventKind.TAKEN, "n02", "b");
        assertEquals("1 0 0", counts(checked()));
        then(
                MachineHistory.EventKind.TAKEN,
                "n01",
                "c"); // It was lost already; its work takes nothing more.
        assertEquals("1 0 0", counts(checked()));
    }

    @Test
    void twoVotersAndHalfAZoneAreSeen() {
        then(MachineHistory.EventKind.TAKEN, "r0", "a");
        then(MachineHistory.EventKind.TAKEN, "r1", "b");
        assertEquals("1 0 0", counts(checked()));
        events.clear();
        then(MachineHistory.EventKind.TAKEN, "n00", "a");
        then(MachineHistory.EventKind.TAKEN, "n10", "b");
        assertEquals(
                "1 0 0", counts(checked()), "one of three is left in the zone, two have to be");
    }
}
