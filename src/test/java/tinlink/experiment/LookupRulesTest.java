package tinlink.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import tinlink.emulator.EmulatedClient.LookupRequest;
import tinlink.emulator.EmulatedClient.LookupResponse;
import tinlink.emulator.RunLog;

import java.util.List;

/**
 * Each check of the rules is shown a breach of its rule, made on purpose, and beside it the case
 * that is none.
 */
class LookupRulesTest {
    private static final String V0 = RunLog.value("q.0", "t");
    private static final String V1 = RunLog.value("q.1", "t");

    private static String body(boolean whole, String... values) {
        StringBuilder b = new StringBuilder("{\"all_in\":" + whole + ",\"matches\":[");
        for (int i = 0; i < values.length; i++) {
            b.append(i == 0 ? "" : ",")
                    .append("{\"segment\":" + i + ",\"payload\":\"" + values[i] + "\"}");
        }
        return b + "]}";
    }

    /**
     * What is told of a once-only lookup of two parts after so long, and when its first part ran.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "kept,       once, 200, whole,   900,  100,  -1",
        "lost,       once, 0,   none,    900,  100,  -1",
        "late,       once, 200, whole,   1100, 100,  -1",
        "kept,       once, 200, whole,   1040, 100,  -1",
        "repeated,   once, 200, whole,   900,  100,  110",
        "kept,       pay,  200, whole,   900,  100,  300",
        "repeated,   pay,  200, whole,   900,  100,  700",
        "kept,       sum,  200, whole,   900,  100,  700",
        "dishonest,  once, 503, none,    900,  100,  -1",
        "kept,       once, 503, none,    900,  -1,   -1",
        "kept,       sum,  503, none,    900,  100,  -1",
        "dishonest,  once, 200, foreign, 900,  100,  -1",
        "dishonest,  once, 200, short,   900,  100,  -1",
        "dishonest,  once, 200, partial, 900,  100,  -1",
        "kept,       find, 200, partial, 900,  100,  -1",
        "dishonest,  find, 200, short,   900,  100,  -1",
    })
    void bites(
            String expected,
            String kind,
            int status,
            String told,
            long tookMs,
            long ranMs,
            long againMs) {
        LoadGenerator.LookupKind k = new LoadGenerator.LookupKind(
                kind,
                kind.equals("pay"),
                kind.equals("once"),
                500_000,
                kind.equals("find") ? 0.3 : 1);
        LoadGenerator.LookupRecord a = new LoadGenerator.LookupRecord(
                new LookupRequest("q", kind, 1000, List.of(0, 1), "t", null), k, null, true);
        a.answer = new LookupResponse(
                status,
                switch (told) {
                    case "whole" -> body(true, V0, V1);
                    case "foreign" -> body(true, V0, V0);
                    case "short" -> body(true, V0);
                    case "partial" -> body(false, V0);
                    default -> "";
                },
                1000 * tookMs,
                0);
        RunLog runLog = new RunLog(10);
        for (long ms : new long[] {ranMs, againMs}) {
            if (ms >= 0) {
                runLog.add(new RunLog.Run("q.0", "n", 1000 * ms, null));
            }
        }
        LookupRules r = new LookupRules();
        r.check(List.of(a), runLog);
        assertEquals(
                expected,
                !r.lost.isEmpty()
                        ? "lost"
                        : !r.late.isEmpty()
                                ? "late"
                                : !r.repeated.isEmpty()
                                        ? "repeated"
                                        : !r.dishonest.isEmpty() ? "dishonest" : "kept");
        assertEquals(expected.equals("kept"), r.areKept());
    }
}
