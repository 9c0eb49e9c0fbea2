package tinlink.experiment.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import tinlink.Main;

/** What a router process is started with. */
class ChildTest {
    @Test
    void theMainClassOfAChildIsTheProgramsEntry() {
        assertEquals(Main.class.getName(), RouterProcess.MAIN_CLASS);
    }
}
