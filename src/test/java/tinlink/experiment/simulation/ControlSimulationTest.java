package tinlink.experiment.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import tinlink.experiment.simulation.ControlSimulation.Outcome;
import tinlink.experiment.simulation.ControlSimulation.Role;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** What control costs by number of routers: bounds on messages, bytes and state, none on times. */
class ControlSimulationTest {
    /** Held, since what is set at a logger that nobody holds is forgotten with it. */
    private static final Logger LIBRARY = Logger.getLogger("io.microraft");

    private static final int FEW = 14;
    private static final int MANY = 42;
    private static Outcome few;
    private static Outcome many;

    @BeforeAll
    static void plays() {
        LIBRARY.setLevel(Level.OFF); // What it says of lost messages is the purpose.
        few = play(FEW);
        many = play(MANY);
    }

    private static Outcome play(int routers) {
        return ControlSimulation.play(
                1, new ControlSimulation.Size(routers, 7, 6 * routers, 0.02, 1));
    }

    @Test
    void changesTakeHoldAndTheSameSeedIsTheSamePlay() {
        assertEquals(List.of(), few.violations());
        assertEquals(List.of(), many.violations());
        assertEquals(FEW, few.allThere().timesUs().size());
        assertEquals(few, play(FEW));
    }

    /** Each router's yes is a line of its own: a proposal, what the leader says, and one line a router. */
    @Test
    void aChangeIsOneAgreedLineARouterAndFewMore() {
        assertTrue(few.linesAChange() >= FEW + 3, "lines " + few.linesAChange());
        assertTrue(many.linesAChange() >= MANY + 3, "lines " + many.linesAChange());
        assertTrue(many.linesAChange() <= 3 * MANY, "lines " + many.linesAChange());
    }

    @Test
    void anOrdinaryRoutersMessagesDoNotGrowWithRouters() {
        double before = few.idle().get(Role.ROUTER).messages();
        double after = many.idle().get(Role.ROUTER).messages();
        assertTrue(after < 1.1 * before, before + " messages a second, and " + after);
        assertTrue(after < 50, after + " messages a second");
    }

    @Test
    void aLeadersMessagesGrowInProportionAtMost() {
        double before = few.idle().get(Role.LEADER).messages() / FEW;
        double after = many.idle().get(Role.LEADER).messages() / MANY;
        assertTrue(after < 1.2 * before, before + " messages a second and router, and " + after);
    }

    @Test
    void bytesOfAChangeAtARouterGrowInProportionAtMost() {
        double before = few.change().get(Role.ROUTER).bytes() / FEW;
        double after = many.change().get(Role.ROUTER).bytes() / MANY;
        assertTrue(after < 1.3 * before, before + " bytes a router, and " + after);
    }

    /** Machines, since when they are sound, lives, enrolments, and what changes have left behind. */
    @Test
    void stateHeldIsAFewEntriesAMachine() {
        int machines = MANY + 6 * MANY;
        assertTrue(many.stateEntries() > 2 * machines, "entries " + many.stateEntries());
        assertTrue(
                many.stateEntries() < 2 * machines + 2 * MANY + 20,
                "entries " + many.stateEntries());
    }

    @Test
    void membershipOfAFleetStartedAtOnceSettlesAtAFlatCost() {
        MembershipSimulation.Idle before = MembershipSimulation.idle(1, 10);
        MembershipSimulation.Idle after = MembershipSimulation.idle(1, 40);
        assertTrue(after.messages() < 1.2 * before.messages(), before + " " + after);
        assertTrue(after.bytes() < 1.3 * before.bytes(), before + " " + after);
    }
}
