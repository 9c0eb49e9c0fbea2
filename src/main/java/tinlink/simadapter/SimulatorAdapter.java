package tinlink.simadapter;

import tinlink.config.FlatSettings;
import tinlink.config.InvalidInputException;
import tinlink.decision.QueryCoordinator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs simulated routers for a simulator, over its protocol on standard input and output. The adapter reads
 * batches of events, and writes one reply to each batch.
 */
public final class SimulatorAdapter {
    private final BufferedReader input;
    private final OutputStream out;
    private final PrintStream err;
    /** Started routers by their instance number in the protocol. */
    private final Map<Long, SimulatedRouter> instances = new HashMap<>();

    /** Endpoint lists by their number in the protocol; null where none was read. */
    private final WireEndpointList[] endpointLists = new WireEndpointList[16];

    private long lineNumber;
    private long nowUs;

    /** Creates an adapter; invalid input and internal errors are reported to {@code err}. */
    public SimulatorAdapter(InputStream input, OutputStream out, PrintStream err) {
        this.input =
                new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Runs until the input ends; returns the exit status of the process. */
    public int run() {
        try {
            for (WireLine line = read(); line != null; line = read()) {
                if (!line.name().isEmpty()) {
                    out.write(runBatch(line).getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            }
            return 0;
        } catch (InvalidInputException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        } catch (IOException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private WireLine read() throws IOException {
        String text = input.readLine();
        lineNumber++;
        return text == null ? null : new WireLine(text);
    }

    private WireLine readInBatch() throws IOException {
        WireLine line = read();
        if (line == null) {
            throw new WireFormatException("", "the input ends inside a batch");
        }
        return line;
    }

    private String runBatch(WireLine firstLine) throws IOException {
        if (!firstLine.name().equals("round")) {
            throw new WireFormatException(
                    "",
                    "expected 'round' at the start of a batch, found '" + firstLine.name() + "'");
        }
        nowUs = firstLine.micros("clock");
        long number = firstLine.wholeNumber("batch");
        firstLine.expectEnd();
        StringBuilder reply = new StringBuilder();
        Set<Long> touchedInstances = new LinkedHashSet<>();
        long instanceId = -1;
        try {
            for (WireLine line = readInBatch(); !line.name().equals("eob"); line = readInBatch()) {
                switch (line.name()) {
                    case "target_instance" -> instanceId = line.wholeNumber("who");
                    case "sheet" -> readEndpointList(line);
                    default -> {
                        dispatchEvent(instanceId, line);
                        touchedInstances.add(instanceId);
                    }
                }
            }
            for (long touchedId : touchedInstances) {
                instanceId = touchedId;
                SimulatedRouter instance = instances.get(touchedId);
                if (instance != null) {
                    StringBuilder actions = instance.actions();
                    if (actions.length() > 0) {
                        reply.append("speaking ").append(touchedId).append('\n').append(actions);
                    }
                }
            }
        } catch (InvalidInputException e) {
            throw e;
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            StackTraceElement origin = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            reply.append("speaking ")
                    .append(instanceId)
                    .append("\nbroken ")
                    .append(String.valueOf(e).replace('\n', ' '))
                    .append(" at ")
                    .append(origin)
                    .append('\n');
        }
        return reply.append("done ").append(number).append('\n').toString();
    }

    private void readEndpointList(WireLine line) throws IOException {
        long number = line.wholeNumber("list");
        long count = line.wholeNumber("members", 0);
        line.expectEnd();
        if (number < 0 || number >= endpointLists.length || count < 0) {
            throw new InvalidInputException(
                    "sheet: invalid list " + number + " or member count " + count);
        }
        List<WireEndpointList.Entry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            entries.add(WireEndpointList.parseEntry(readInBatch()));
        }
        endpointLists[(int) number] = new WireEndpointList(entries);
    }

    private void dispatchEvent(long instanceId, WireLine line) {
        if (instanceId < 0) {
            throw new WireFormatException(line.name(), "expected target_instance before the event");
        }
        if (line.name().equals("start")) {
            long seed = line.wholeNumber("prng");
            instances.put(
                    instanceId,
                    new SimulatedRouter(seed, FlatSettings.ofPairs("start", line.rest())));
            return;
        }
        SimulatedRouter instance = instances.get(instanceId);
        if (instance == null) {
            throw new InvalidInputException(
                    line.name() + ": instance " + instanceId + " has not been started");
        }
        instance.advanceClock(nowUs);
        switch (line.name()) {
            case "killed" -> {
                line.expectEnd();
                instances.remove(instanceId);
            }
            case "endpoints" -> onEndpoints(instance, line);
            case "job_in" -> instance.onLookupOrPart(line, nowUs);
            case "verdict" -> instance.onOutcome(line);
            case "timed_out_client" -> {
                String wireId = line.requiredField("xid");
                line.expectEnd();
                instance.onClientGone(wireId);
            }
            case "due" -> {
                line.wholeNumber("tag");
                line.expectEnd();
                instance.onTimer();
            }
            case "echo" -> instance.onHealthCheckAnswer(line);
            case "started", "whisper" -> line.rest(); // Streamed indexes and peers are not used.
            default -> throw new WireFormatException("", "unknown event: " + line.name());
        }
    }

    private void onEndpoints(SimulatedRouter instance, WireLine line) {
        long scope = line.wholeNumber("scope");
        line.field("revision");
        long list = line.wholeNumber("list", -1);
        line.expectEnd();
        QueryCoordinator.EndpointListUpdate update =
                switch ((int) scope) {
                    case 1 -> QueryCoordinator.EndpointListUpdate.CHANGES;
                    case 2 -> QueryCoordinator.EndpointListUpdate.CACHED;
                    case 3 -> QueryCoordinator.EndpointListUpdate.FAILED;
                    case 4 -> QueryCoordinator.EndpointListUpdate.FULL;
                    default ->
                        throw new WireFormatException("endpoints", "unknown scope: " + scope);
                };
        if (update != QueryCoordinator.EndpointListUpdate.FAILED) {
            if (list < 0 || list >= endpointLists.length || endpointLists[(int) list] == null) {
                throw new WireFormatException("endpoints", "unknown list: " + list);
            }
            WireEndpointList endpointList = endpointLists[(int) list];
            if (update == QueryCoordinator.EndpointListUpdate.CHANGES) {
                endpointList.entries().forEach(instance::applyEntry);
            } else {
                instance.applyFullList(endpointList);
            }
        }
        instance.onEndpointListUpdate(update);
    }
}
