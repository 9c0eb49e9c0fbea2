package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Map;

/** Compares the line of each command with the line that earlier builds write and read. */
class MaintenanceCommandCodecTest {
    private static final Machine NODE =
            new Machine("n1", Machine.Kind.NODE, 7, "z1", "s1", "m\tx", false);

    private static Map.Entry<String, MaintenanceCommand> line(
            String line, MaintenanceCommand command) {
        return Map.entry(line, command);
    }

    static List<Map.Entry<String, MaintenanceCommand>> lines() {
        return List.of(
                line(
                        "bounds\t2\t0.5\t0.25\t1000000\t4000000\t20000000\t100\t200",
                        new MaintenanceCommand.SetLimits(new DisruptionLimits(
                                2, 0.5, 0.25, 1_000_000, 4_000_000, 20_000_000, 100, 200))),
                line("tick\t250000", new MaintenanceCommand.AdvanceTime(250_000)),
                line(
                        "machine\tn1\tNODE\t7\tz1\ts1\tm\\tx\tfalse",
                        new MaintenanceCommand.RegisterMachine(NODE)),
                line("gone\tn1", new MaintenanceCommand.RemoveMachine("n1")),
                line("sound\tn1\tfalse", new MaintenanceCommand.SetHealth("n1", false)),
                line("life\tr1\tr1#1.2f", new MaintenanceCommand.RegisterRouter("r1", "r1#1.2f")),
                line("ended\tr1\tr1#1.2f", new MaintenanceCommand.RemoveRouter("r1", "r1#1.2f")),
                line(
                        "request\tq1\tn1,n2\t3000\t9223372036854775807\t5\top\twhy\\nso",
                        new MaintenanceCommand.SubmitRequest(new MaintenanceRequest(
                                "q1",
                                List.of("n1", "n2"),
                                3000,
                                Long.MAX_VALUE,
                                5,
                                "op",
                                "why\nso"))),
                line(
                        "request\tq2\t\t1\t2\t0\top\t",
                        new MaintenanceCommand.SubmitRequest(
                                new MaintenanceRequest("q2", List.of(), 1, 2, 0, "op", ""))),
                line("call-off\tq1\tlate", new MaintenanceCommand.CancelRequest("q1", "late")),
                line(
                        "begin\tr1\t3\tr1#1.2f",
                        new MaintenanceCommand.StartDrain("r1", 3, "r1#1.2f")),
                line(
                        "clear\tn1\t4\tr1\tr1#1.2f",
                        new MaintenanceCommand.ConfirmDrained("n1", 4, "r1", "r1#1.2f")),
                line("serves\tr1\tr1#1.2f", new MaintenanceCommand.ConfirmServing("r1", "r1#1.2f")),
                line("done\tq1\t\tback", new MaintenanceCommand.CompleteWork("q1", "", false)),
                line("done\tq1\tn1\tlost", new MaintenanceCommand.CompleteWork("q1", "n1", true)));
    }

    @ParameterizedTest
    @MethodSource("lines")
    void eachCommandKeepsItsEncoding(Map.Entry<String, MaintenanceCommand> lineAndCommand) {
        assertEquals(
                lineAndCommand.getKey(), MaintenanceCommandCodec.encode(lineAndCommand.getValue()));
        assertEquals(
                lineAndCommand.getValue(), MaintenanceCommandCodec.decode(lineAndCommand.getKey()));
    }

    /**
     * A line in which a field is missing, is not a number or is out of range is rejected with a message that
     * contains the whole line.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "tick",
                "tick\tsoon",
                "machine\t\tNODE\t7\tz1\ts1\tm\tfalse",
                "machine\tn1\tTREE\t7\tz1\ts1\tm\tfalse",
                "sound\tn1",
                "request\tq1\tn1\t0\t2\t5\top\twhy",
                "request\tq1\tn1\t1\t2\t10\top\twhy",
                "begin\tr1\tx\tr1#1.2f",
                "done\tq1\tn1",
                "bounds\t2\t0.5"
            })
    void aMalformedLineIsRejectedWithAMessageThatContainsIt(String line) {
        assertEquals(new MaintenanceCommand.Unknown(line), MaintenanceCommandCodec.decode(line));
        assertEquals("not understood: " + line, apply(line));
    }

    @Test
    void aCommandOfAnUnknownKindIsRejectedWithItsKind() {
        assertEquals("not understood: later", apply("later\tx"));
        assertEquals("not understood: ", apply(""));
    }

    private static String apply(String line) {
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine();
        List<String> before = stateMachine.snapshot();
        String message =
                stateMachine.apply(MaintenanceCommandCodec.decode(line)).message();
        assertEquals(before, stateMachine.snapshot(), "an unknown command changes nothing");
        return message;
    }

    @Test
    void fieldsThatALaterBuildAppendsAreSkipped() {
        assertEquals(
                new MaintenanceCommand.RemoveMachine("n1"),
                MaintenanceCommandCodec.decode("gone\tn1\tlater"));
    }

    @Test
    void anUnknownCommandCannotBeEncoded() {
        MaintenanceCommand unknown = new MaintenanceCommand.Unknown("x");
        assertThrows(IllegalArgumentException.class, () -> MaintenanceCommandCodec.encode(unknown));
    }
}
