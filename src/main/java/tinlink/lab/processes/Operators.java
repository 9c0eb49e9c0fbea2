package tinlink.lab.processes;

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
public final class Operators {
    /** What is sent to a taken data node for so long after "out" is held against the routers. */
    static final long WATCHED_MS = 300;

    private final Fleet fleet;
    private final History history;
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

    public Operators(Fleet fleet, long seed) {
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
    public synchronized void ask(String id, List<String> machines, long forMs, int urgency) {
        open.put(id, "asked");
        machines.forEach(
                m -> history.add(fleet.ground.on(fleet.ground::now), History.What.ASKED, m, id));
        SplittableRandom own = random.split();
        Thread t = new Thread(
                () -> {
                    try {
                        tend(id, machines, forMs, urgency, own);
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

    private Fleet.Told say(SplittableRandom own, Map<String, ?> what) {
        List<Child> up = new ArrayList<>(fleet.up());
        return up.isEmpty()
                ? new Fleet.Told(
                        0, new com.fasterxml.jackson.databind.ObjectMapper().createObjectNode())
                : Fleet.say(up.get(own.nextInt(up.size())), what);
    }

    private void tend(
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
            Fleet.Told t = asked ? say(own, Map.of("do", "show", "id", id)) : say(own, ask);
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
                    say(own, Map.of("do", "done", "id", id, "machine", machine));
                }
            }
            open.put(id, String.join("; ", states));
            if (calledOff.contains(id) && takenAt.isEmpty()) {
                say(own, Map.of("do", "call-off", "id", id));
            }
            if (r.path("over").asBoolean()) {
                for (JsonNode m : r.path("machines")) {
                    ended.put(
                            id + "/" + m.path("machine").asText(),
                            m.path("state").asText());
                    history.add(now(), History.What.OVER, m.path("machine").asText(), id);
                }
                open.remove(id);
                return;
            }
        }
    }

    private long now() {
        return fleet.ground.on(fleet.ground::now);
    }

    private void take(String machine, String id) throws InterruptedException, IOException {
        long at = now();
        history.add(at, History.What.TAKEN, machine, id);
        EmulatedNode n = fleet.around.nodes.get(machine);
        if (n != null) {
            Thread.sleep(WATCHED_MS);
            long ran = fleet.ground.on(() -> fleet.runs.between(machine, at, Long.MAX_VALUE));
            if (ran > 0) {
                staleActs.add(
                        machine + " ran " + ran + " parts after it was told as out for " + id);
            }
            n.die();
            return;
        }
        Child c = fleet.routers.get(machine);
        synchronized (c) {
            fleet.fronts.get(machine).stopped();
            if (c.isUp() && !c.isPaused()) {
                int status = c.stop(10_000);
                if (status != 0 && status != 143) {
                    faults.add(
                            machine + " ended with " + status + " as it was stopped:\n" + c.said());
                }
            } else {
                c.kill();
            }
        }
    }

    private void giveBack(String machine, String id) throws IOException, InterruptedException {
        EmulatedNode n = fleet.around.nodes.get(machine);
        if (n != null) {
            n.live();
        } else {
            Child c = fleet.routers.get(machine);
            synchronized (c) {
                if (!c.isUp()) {
                    fleet.start(c);
                }
            }
        }
        history.add(now(), History.What.GIVEN_BACK, machine, id);
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
