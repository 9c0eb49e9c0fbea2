package tinlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import tinlink.config.InvalidInputException;
import tinlink.config.RouterConfig;
import tinlink.gateway.forwarding.ForwardingPlayer;
import tinlink.http2.Http2ConnectionPlayer;
import tinlink.http2.pool.ConnectionPoolPlayer;
import tinlink.maintenance.scheduling.MaintenanceScenarioPlayer;
import tinlink.net.CloseReason;
import tinlink.net.ParserPlayer;
import tinlink.simadapter.SimulatorAdapter;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plays every scenario: the module's through {@link DecisionScenarioPlayer}, the wire's through the adapter.
 */
class ScenarioTest {

    static List<Arguments> module() throws IOException {
        return Scenarios.sections(".scn");
    }

    static List<Arguments> parsers() throws IOException {
        return Scenarios.sections(".msg");
    }

    static List<Arguments> router() throws IOException {
        return Scenarios.sections(".net");
    }

    static List<Arguments> gatewayConfig() throws IOException {
        return Scenarios.sections(".gcfg");
    }

    static List<Arguments> pool() throws IOException {
        return Scenarios.sections(".pool");
    }

    static List<Arguments> orderOfWork() throws IOException {
        return Scenarios.sections(".work");
    }

    static List<Arguments> http2() throws IOException {
        return Scenarios.sections(".h2");
    }

    static List<Arguments> links() throws IOException {
        return Stream.concat(
                        Scenarios.sections(".far").stream(), Scenarios.sections(".taker").stream())
                .toList();
    }

    static List<Arguments> config() throws IOException {
        return Scenarios.sections(".cfg");
    }

    static List<String> wire() throws IOException {
        return Scenarios.files(".wire");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void module(String title, List<String> script) {
        new DecisionScenarioPlayer().play(script);
    }

    /** HTTP/2 frames of a scripted server against the client's side of a connection. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void http2(String title, List<String> script) {
        new Http2ConnectionPlayer().play(script);
    }

    /** Which connection over HTTP/2 a part call goes on. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void pool(String title, List<String> script) {
        new ConnectionPoolPlayer().play(script);
    }

    /** The order in which machines are taken out for work. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void orderOfWork(String title, List<String> script) {
        new MaintenanceScenarioPlayer().play(script);
    }

    /** The gateway's choices, of the near side and of the far one. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void links(String title, List<String> script) {
        new ForwardingPlayer().play(script);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void parsers(String title, List<String> script) {
        ParserPlayer.play(title, script);
    }

    /**
     * Against real sockets on loopback, with stand-ins; a wait is bounded, no verdict hangs on
     * speed.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    @Timeout(60)
    void router(String title, List<String> script, @TempDir Path dir) throws Exception {
        try (RouterScenarioPlayer p = new RouterScenarioPlayer(dir)) {
            p.play(script);
        }
    }

    /** What a router says of a configuration that it can't use: lines with "> " are its file. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void config(String title, List<String> script, @TempDir Path dir) throws IOException {
        Path file = Files.writeString(dir.resolve("c"), pick(script, "> "));
        InvalidInputException e = assertThrows(
                InvalidInputException.class,
                () -> new RouterConfig(Map.of("NODE_CONFIG", file.toString())));
        assertEquals(pick(script, "! "), e.getMessage() + "\n");
    }

    /** What a router says of a gateway file that it can't use. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void gatewayConfig(String title, List<String> script, @TempDir Path dir) throws IOException {
        Path file = Files.writeString(dir.resolve("g"), pick(script, "> "));
        Map<String, String> env =
                Map.of("NODE_CONFIG", "deploy/example.json", "NODE_GATEWAY", file.toString());
        if (pick(script, "! ").isEmpty()) {
            assertEquals(1, new RouterConfig(env).gateway.remoteRouters.size());
            return;
        }
        InvalidInputException e =
                assertThrows(InvalidInputException.class, () -> new RouterConfig(env));
        assertEquals(pick(script, "! "), e.getMessage().replace(file.toString(), "FILE") + "\n");
    }

    @Test
    void deployedFilesAreRead() {
        RouterConfig config = new RouterConfig(Map.of(
                "NODE_CONFIG", "deploy/example.json", "NODE_GATEWAY", "deploy/gateway.json5"));
        assertEquals(
                List.of("w1", "w2"),
                config.gateway.remoteRouters.stream().map(f -> f.router()).toList());
    }

    /** Danger: a part call whose frame has left and that passes for one that never ran. */
    @ParameterizedTest
    @EnumSource(CloseReason.class)
    void eachCloseReasonTellsWhetherACallMayHaveRun(CloseReason closeReason) {
        boolean neverUp = EnumSet.of(
                        CloseReason.CONNECT_REFUSED,
                        CloseReason.CONNECT_TIMEOUT,
                        CloseReason.NO_DESCRIPTOR)
                .contains(closeReason);
        for (boolean meant : new boolean[] {true, false}) {
            assertEquals(neverUp, closeReason.toOutcome(true, meant).neverRan);
            assertTrue(closeReason.toOutcome(false, meant).neverRan);
        }
    }

    /** Lines with ">" go in, "<" must come out, "!" must be said on standard error. */
    @ParameterizedTest
    @MethodSource
    void wire(String file) throws IOException {
        List<String> lines = Files.readAllLines(Scenarios.DIR.resolve(file));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        byte[] in = pick(lines, "> ").getBytes(StandardCharsets.UTF_8);
        int status = new SimulatorAdapter(
                        new ByteArrayInputStream(in),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run();
        assertEquals(pick(lines, "< "), out.toString(StandardCharsets.UTF_8));
        assertEquals(pick(lines, "! "), err.toString(StandardCharsets.UTF_8));
        assertEquals(pick(lines, "! ").isEmpty() ? 0 : 1, status);
    }

    private static String pick(List<String> lines, String mark) {
        return lines.stream()
                .filter(l -> l.startsWith(mark))
                .map(l -> l.substring(2) + "\n")
                .collect(Collectors.joining());
    }
}
