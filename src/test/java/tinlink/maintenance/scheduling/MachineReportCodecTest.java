package tinlink.maintenance.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Compares the line of each report with the line that earlier builds write and read. */
class MachineReportCodecTest {
    private static final Machine NODE =
            new Machine("n1", Machine.Kind.NODE, 7, "z1", "s1", "m", false);
    private static final Machine ROUTER =
            new Machine("r1", Machine.Kind.ROUTER, -1, "z1", "s1", "router", true);
    private static final String NODE_LINE = "machine\\tn1\\tNODE\\t7\\tz1\\ts1\\tm\\tfalse";

    static List<Map.Entry<String, MachineReport>> lines() {
        return List.of(
                Map.entry(
                        "saw\ta\ttrue\tb\tfalse",
                        new MachineReport.Health(new TreeMap<>(Map.of("a", true, "b", false)))),
                Map.entry("saw", new MachineReport.Health(Map.of())),
                Map.entry(
                        "list\ts1\t" + NODE_LINE,
                        new MachineReport.FullNodeList("s1", List.of(NODE))),
                Map.entry("list\ts1", new MachineReport.FullNodeList("s1", List.of())),
                Map.entry(
                        "list-difference\ts1\tff\t1\t" + NODE_LINE + "\tx\ty",
                        new NodeListDifference("s1", 255, List.of(NODE), Set.of("y", "x"))),
                Map.entry(
                        "list-difference\ts1\tffffffffffffffff\t0",
                        new NodeListDifference("s1", -1, List.of(), Set.of())),
                Map.entry(
                        "self\tmachine\\tr1\\tROUTER\\t-1\\tz1\\ts1\\trouter\\ttrue",
                        new MachineReport.Self(ROUTER)),
                Map.entry("left\tr1#1.2f", new MachineReport.Departure("r1#1.2f")));
    }

    @ParameterizedTest
    @MethodSource("lines")
    void eachReportKeepsItsEncoding(Map.Entry<String, MachineReport> lineAndReport) {
        assertEquals(lineAndReport.getKey(), MachineReportCodec.encode(lineAndReport.getValue()));
        assertEquals(
                Optional.of(lineAndReport.getValue()),
                MachineReportCodec.decode(lineAndReport.getKey()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "later\tx",
                "list",
                "list\ts1\tmachine",
                "self",
                "self\tmachine\\tr1",
                "left",
                "list-difference\ts0",
                "list-difference\ts0\tnothex\t0",
                "list-difference\ts0\t0\t5\tmachine",
                "list-difference\ts0\t1f\t-1"
            })
    void malformedReportsAreIgnored(String line) {
        assertEquals(Optional.empty(), MachineReportCodec.decode(line));
    }
}
