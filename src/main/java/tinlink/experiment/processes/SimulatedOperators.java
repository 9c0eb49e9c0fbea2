package tinlink.experiment.processes;

import com.fasterxml.jackson.databind.JsonNode;

import tinlink.emulator.EmulatedNode;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Operators who need machines: each asks some router for its work, takes a machine as soon as any
 * router says that it is out, works on it for a while, gives it back, and asks on until it is over.
 * One thread a request.
 */
public final class SimulatedOperators {
    /** What is sent to a taken data node for so long after "out" is held against the routers. */
    static final long WATCHED_MS = 300;

    private final Fleet fleet;
    private final MachineHistory history;
    private final SplittableRandom random;
    private final List<Thread> threads = new ArrayList<>();
    /** Requests that are not over yet, and how they last stood. */
    private final Map<String, String> open = new ConcurrentHashMap<>();
    /** How each machine of each request ended, as it was told. */
    private final Map<String, String> ended = new ConcurrentHashMap<>();

    final ConcurrentLinkedQueue<String> staleActs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final Set<String> calledOff = ConcurrentHashMap.newKeySet();
    private volatile boolean stop;

    public SimulatedOperators(Fleet fleet, long seed) {
        this.fleet = fleet;
        history = fleet.history;
        random = new SplittableRandom(seed);
    }

    public Map<String, String> open() {
        return new TreeMap<>(open);
    }

    /** As "request/machine". */
    public Map<String, String> ended() {
        return new TreeMap<>(ended);
    }

    /** From now on it is called off, as far as it can be. */
    public void callOff(String id) {
        calledOff.add(id);
    }

    /** Asks for these machines, each out for so long. */
    public synchronized void submit(String id, List<String> machines, long forMs, int urgency) {
        open.put(id, "asked");
        machines.forEach(m -> history.add(
                fleet.emulatorLoop.call(fleet.emulatorLoop::now),
                MachineHistory.EventKind.ASKED,
                m,
                id));
        SplittableRandom own = random.split();
        Thread t = new Thread(
                () -> {
                    try {
                        followRequest(id, machines, forMs, urgency, own);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (IOException | RuntimeException e) {
                        faults.add(id + ": " + e);
                    }
                },
                "operator-" + id);
        t.setDaemon(true);
        threads.add(t);
        t.start();
    }

    private Fleet.ControlResponse send(SplittableRandom own, Map<String, ?> what) {
        List<RouterProcess> up = new ArrayList<>(fleet.running());
        return up.isEmpty()
                ? new Fleet.ControlResponse(
                        0, new com.fasterxml.jackson.databind.ObjectMapper().createObjectNode())
                : Fleet.send(up.get(own.nextInt(up.size())), what);
    }

    private void followRequest(
            String id, List<String> machines, long forMs, int urgency, SplittableRandom own)
            throws InterruptedException, IOException {
        Map<String, Object> ask = Map.of(
                "do",
                "ask",
                "id",
                id,
                "machines",
                machines,
                "for_ms",
                60_000,
                "urgency",
                urgency,
                "author",
                "op",
                "why",
                "work");
        Map<String, Long> takenAt = new HashMap<>();
        Map<String, Boolean> given = new HashMap<>();
        boolean asked = false;
        while (!stop) {
            Thread.sleep(60 + own.nextInt(120));
            Fleet.ControlResponse t =
                    asked ? send(own, Map.of("do", "show", "id", id)) : send(own, ask);
            asked |= t.status() == 200;
            JsonNode r = t.body().path("request");
            if (t.status() != 200 || r.isMissingNode()) {
                // It may never have been agreed: the same once more is one request.
                asked &= t.status() != 404;
                continue;
            }
            List<String> states = new ArrayList<>();
            for (JsonNode m : r.path("machines")) {
                String machine = m.path("machine").asText();
                String state = m.path("state").asText();
                states.add(machine + " " + state + " " + m.path("why").asText());
                boolean out = state.equals("out")
                        || (state.equals("overdue") && m.path("away").asBoolean());
                if (out && !takenAt.containsKey(machine)) {
                    takenAt.put(machine, System.nanoTime());
                    take(machine, id);
                } else if (out && (System.nanoTime() - takenAt.get(machine)) / 1_000_000 >= forMs) {
                    if (given.put(machine, true) == null) {
                        giveBack(machine, id);
                    }
                    send(own, Map.of("do", "done", "id", id, "machine", machine));
                }
            }
            open.put(id, String.join("; ", states));
            if (calledOff.contains(id) && takenAt.isEmpty()) {
                send(own, Map.of("do", "call-off", "id", id));
            }
            if (r.path("over").asBoolean()) {
                for (JsonNode m : r.path("machines")) {
                    ended.put(
                            id + "/" + m.path("machine").asText(),
                            m.path("state").asText());
                    history.add(
                            now(),
                            MachineHistory.EventKind.OVER,
                            m.path("machine").asText(),
                            id);
                }
                open.remove(id);
                return;
            }
        }
    }

    private long now() {
        return fleet.emulatorLoop.call(fleet.emulatorLoop::now);
    }

    private void take(String machine, String id) throws InterruptedException, IOException {
        long at = now();
        history.add(at, MachineHistory.EventKind.TAKEN, machine, id);
        EmulatedNode n = fleet.emulated.nodes.get(machine);
        if (n != null) {
            Thread.sleep(WATCHED_MS);
            long ran = fleet.emulatorLoop.call(
                    () -> fleet.runLog.countBetween(machine, at, Long.MAX_VALUE));
            if (ran > 0) {
                staleActs.add(
                        machine + " ran " + ran + " parts after it was told as out for " + id);
            }
            n.kill();
            return;
        }
        RouterProcess c = fleet.routers.get(machine);
        synchronized (c) {
            fleet.clientGroups.get(machine).stopped();
            if (c.isUp() && !c.isPaused()) {
                int status = c.stop(10_000);
                if (status != 0 && status != 143) {
                    faults.add(machine + " ended with " + status + " as it was stopped:\n"
                            + c.output());
                }
            } else {
                c.kill();
            }
        }
    }

    private void giveBack(String machine, String id) throws IOException, InterruptedException {
        EmulatedNode n = fleet.emulated.nodes.get(machine);
        if (n != null) {
            n.restart();
        } else {
            RouterProcess c = fleet.routers.get(machine);
            synchronized (c) {
                if (!c.isUp()) {
                    fleet.start(c);
                }
            }
        }
        history.add(now(), MachineHistory.EventKind.GIVEN_BACK, machine, id);
    }

    /** Waits until all are over; what is not by then is left in {@link #open}. */
    public void await(long mostMs) throws InterruptedException {
        long end = System.nanoTime() + 1_000_000 * mostMs;
        while (!open.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(50);
        }
    }

    /**
     * Waits until all are over, or for so long nothing of what is open has moved: what then is open
     * is stuck. What waits its turn behind others is not, while these move.
     */
    public void awaitRest(long stillMs, long mostMs) throws InterruptedException {
        long end = System.nanoTime() + 1_000_000 * mostMs;
        long moved = System.nanoTime();
        Map<String, String> before = open();
        while (!open.isEmpty()
                && System.nanoTime() < end
                && System.nanoTime() - moved < 1_000_000 * stillMs) {
            Thread.sleep(50);
            Map<String, String> now = open();
            if (!now.equals(before)) {
                before = now;
                moved = System.nanoTime();
            }
        }
    }

    public void end() throws InterruptedException {
        stop = true;
        for (Thread t : threads) {
            t.join(15_000);
        }
    }
}
