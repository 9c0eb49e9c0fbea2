package tinlink.maintenance.scheduling;

import tinlink.cluster.consensus.LineCodec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The order in which machines are taken out for work. All routers agree on the commands and on
 * their order; each plays them through this and comes to the same grants. Nothing here asks a
 * clock: agreed time is the sum of what leaders say has passed, by clocks that only go on, and it
 * stands still while there is no leader.
 *
 * <p>What is safe rests on the order of commands alone: a grant that has not been begun may end by
 * time, one that has counts as away until its machine has come back and been sound for as long as
 * is stated.
 */
public final class MaintenanceStateMachine {
    private static final long NEVER = Long.MAX_VALUE;
    /** One tick is no longer, whatever its leader says. */
    public static final long MAX_TICK_US = 1_000_000;
    /**
     * A piece that has waited for so many agings keeps its place free: what would be in its way
     * waits.
     */
    private static final int STARVATION_AGING_STEPS = 2;
    /** Those that were agreed on; nothing is granted before. */
    private DisruptionLimits limits;
    /** By id. Those that are gone leave, once no work on them is in hand. */
    private final Map<String, Machine> machines = new TreeMap<>();
    /** Worked out from the machines as it is asked for; null after they have changed. */
    private AgreedNodes agreedNodes;

    /**
     * Those not sound, and since when; of sound ones, since when they are. Leave with their
     * machine.
     */
    private final Map<String, Long> unhealthySince = new TreeMap<>();

    private final Map<String, Long> healthySince = new TreeMap<>();
    /** Routers that may serve: their names, and of each its newest incarnation. */
    private final Map<String, String> incarnations = new TreeMap<>();
    /** By id of the request; ended ones leave, oldest first, past the number that is kept. */
    private final Map<String, List<MaintenanceTask>> requests = new LinkedHashMap<>();
    /** Those of them that are not over: what each turn looks at. */
    private final List<MaintenanceTask> openTasks = new ArrayList<>();
    /**
     * Work by which machines are away, null after a change until somebody asks. Danger: looked for
     * among all work for each piece that waits, a thousand requests made each command a million
     * steps.
     */
    private Map<String, MaintenanceTask> activeTasks;

    private long agreedTimeUs;
    private long lastFencingToken;
    private long nextSequenceNumber;
    private int taskCount;

    public MaintenanceStateMachine(DisruptionLimits limits) {
        this.limits = limits;
    }

    /** A copy that goes its own way from here; what never changes is held in common. */
    public MaintenanceStateMachine copy() {
        MaintenanceStateMachine copy = new MaintenanceStateMachine(limits);
        copy.machines.putAll(machines);
        copy.unhealthySince.putAll(unhealthySince);
        copy.healthySince.putAll(healthySince);
        copy.incarnations.putAll(incarnations);
        for (Map.Entry<String, List<MaintenanceTask>> request : requests.entrySet()) {
            List<MaintenanceTask> tasks = new ArrayList<>();
            for (MaintenanceTask task : request.getValue()) {
                tasks.add(new MaintenanceTask(task));
            }
            copy.requests.put(request.getKey(), tasks);
        }
        for (MaintenanceTask task : openTasks) {
            List<MaintenanceTask> tasks = copy.requests.get(task.request.id());
            copy.openTasks.add(tasks.get(requests.get(task.request.id()).indexOf(task)));
        }
        copy.agreedTimeUs = agreedTimeUs;
        copy.lastFencingToken = lastFencingToken;
        copy.nextSequenceNumber = nextSequenceNumber;
        copy.taskCount = taskCount;
        return copy;
    }

    /** Of a fleet that has agreed on nothing yet, not even on its bounds. */
    public MaintenanceStateMachine() {
        this(DisruptionLimits.UNSET);
    }

    // ---- What stands. ----

    public DisruptionLimits limits() {
        return limits;
    }

    /** Whether bounds have been agreed on. */
    @SuppressWarnings("ReferenceEquality") // Equal figures may have been agreed on.
    public boolean hasLimits() {
        return limits != DisruptionLimits.UNSET;
    }

    /** Of each router that may serve, its newest incarnation. */
    public Stream<String> incarnations() {
        return incarnations.values().stream();
    }

    /** Agreed time, microseconds. */
    public long agreedTimeUs() {
        return agreedTimeUs;
    }

    /** The data nodes among the machines, by which lists are told apart; held until they change. */
    public AgreedNodes agreedNodes() {
        if (agreedNodes == null) {
            agreedNodes = AgreedNodes.of(machines.values());
        }
        return agreedNodes;
    }

    public Collection<Machine> machines() {
        return machines.values();
    }

    public Machine machine(String id) {
        return machines.get(id);
    }

    public Collection<List<MaintenanceTask>> requests() {
        return requests.values();
    }

    /** The pieces of a request; empty where it is not known, or not any more. */
    public List<MaintenanceTask> tasksOf(String id) {
        return requests.getOrDefault(id, List.of());
    }

    /** Work that is in hand or waits. */
    public List<MaintenanceTask> openTasks() {
        return List.copyOf(openTasks);
    }

    public boolean isHealthy(String machine) {
        return !unhealthySince.containsKey(machine);
    }

    /** The work by which a machine is away; null where it is not. */
    public MaintenanceTask activeTask(String machine) {
        if (activeTasks == null) {
            activeTasks = new HashMap<>();
            for (MaintenanceTask task : openTasks) {
                if (task.isActive()) {
                    activeTasks.putIfAbsent(task.machine, task);
                }
            }
        }
        return activeTasks.get(machine);
    }

    /** The incarnation of a router that counts as one that may serve; null where none does. */
    public String incarnation(String router) {
        return incarnations.get(router);
    }

    /** Whether this incarnation of this router counts as one that may serve. */
    public boolean incarnations(String router, String incarnation) {
        return incarnation.equals(incarnations.get(router));
    }

    // ---- Commands, in the order agreed on. ----

    /**
     * Plays one command; what is not understood changes nothing. @return what is said to whoever
     * asked
     */
    public String apply(String line) {
        List<String> fields = LineCodec.decode(line);
        try {
            return switch (fields.get(0)) {
                case "bounds" -> limits(DisruptionLimits.decode(fields));
                case "tick" -> tick(Long.parseLong(fields.get(1)));
                case "machine" -> machine(Machine.decode(fields));
                case "gone" -> removeMachine(fields.get(1));
                case "sound" -> isHealthy(fields.get(1), Boolean.parseBoolean(fields.get(2)));
                case "life" -> incarnation(fields.get(1), fields.get(2));
                case "ended" -> removeRouter(fields.get(1), fields.get(2));
                case "request" -> submit(MaintenanceRequest.decode(fields));
                case "call-off" -> cancel(fields.get(1), fields.get(2));
                case "begin" -> begin(fields.get(1), Long.parseLong(fields.get(2)), fields.get(3));
                case "clear" ->
                    confirmDrained(
                            fields.get(1),
                            Long.parseLong(fields.get(2)),
                            fields.get(3),
                            fields.get(4));
                case "serves" -> confirmServing(fields.get(1), fields.get(2));
                case "done" -> done(fields.get(1), fields.get(2), fields.get(3));
                default -> "not understood: " + fields.get(0);
            };
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return "not understood: " + line;
        }
    }

    public static String limitsLine(DisruptionLimits limits) {
        return limits.encode();
    }

    /**
     * The command for a step of time.
     *
     * @param passedUs since the last one, on the leader's monotonic clock
     */
    public static String tickLine(long passedUs) {
        return LineCodec.encode("tick", passedUs);
    }

    public static String machineLine(Machine machine) {
        return machine.encode();
    }

    public static String machineGoneLine(String machine) {
        return LineCodec.encode("gone", machine);
    }

    public static String healthLine(String machine, boolean sound) {
        return LineCodec.encode("sound", machine, sound);
    }

    public static String routerLine(String router, String incarnation) {
        return LineCodec.encode("life", router, incarnation);
    }

    public static String routerEndedLine(String router, String incarnation) {
        return LineCodec.encode("ended", router, incarnation);
    }

    public static String requestLine(MaintenanceRequest request) {
        return request.encode();
    }

    public static String cancelLine(String request, String reason) {
        return LineCodec.encode("call-off", request, reason);
    }

    public static String beginLine(String router, long fencingToken, String incarnation) {
        return LineCodec.encode("begin", router, fencingToken, incarnation);
    }

    public static String drainedLine(
            String machine, long fencingToken, String router, String incarnation) {
        return LineCodec.encode("clear", machine, fencingToken, router, incarnation);
    }

    public static String servingLine(String router, String incarnation) {
        return LineCodec.encode("serves", router, incarnation);
    }

    /**
     * The command that ends work on a machine.
     *
     * @param machine empty for all of the request
     * @param lost it will not come back
     */
    public static String doneLine(String request, String machine, boolean lost) {
        return LineCodec.encode("done", request, machine, lost ? "lost" : "back");
    }

    /**
     * Danger: routers whose files differ would come to different grants; so bounds are agreed on
     * like all else. The first hold; what changes them is a change of policy.
     */
    private String limits(DisruptionLimits proposed) {
        if (hasLimits()) {
            return limits.equals(proposed) ? "" : "other bounds are agreed on";
        }
        limits = proposed;
        return "";
    }

    /**
     * Danger: a leader that stood still, or whose machine slept, would end grants that nobody could
     * begin.
     */
    private String tick(long passedUs) {
        agreedTimeUs += Math.max(0, Math.min(passedUs, MAX_TICK_US));
        advanceTasks();
        return "";
    }

    private String machine(Machine machine) {
        if (machines.size() >= limits.maxEntries() && !machines.containsKey(machine.id())) {
            return "too many machines";
        }
        agreedNodes = null;
        if (machines.put(machine.id(), machine) == null) {
            healthySince.putIfAbsent(machine.id(), agreedTimeUs);
        }
        advanceTasks();
        return "";
    }

    private String removeMachine(String id) {
        // Danger: a machine that is out for work is off the lists as well; forgotten, its block
        // would look
        // whole.
        if (activeTask(id) == null && machines.remove(id) != null) {
            agreedNodes = null;
            unhealthySince.remove(id);
            healthySince.remove(id);
            for (MaintenanceTask task : List.copyOf(openTasks)) {
                if (task.machine.equals(id)) {
                    finish(task, TaskState.REFUSED, "the machine is gone from the lists");
                }
            }
        }
        advanceTasks();
        return "";
    }

    private String isHealthy(String id, boolean is) {
        if (machines.containsKey(id) && is == unhealthySince.containsKey(id)) {
            if (is) {
                unhealthySince.remove(id);
                healthySince.put(id, agreedTimeUs);
            } else {
                unhealthySince.put(id, agreedTimeUs);
            }
        }
        advanceTasks();
        return "";
    }

    private String incarnation(String router, String incarnation) {
        if (incarnations.size() >= limits.maxEntries() && !incarnations.containsKey(router)) {
            return "too many routers";
        }
        incarnations.put(router, incarnation);
        advanceTasks();
        return "";
    }

    private String removeRouter(String router, String incarnation) {
        incarnations.remove(router, incarnation);
        advanceTasks();
        return "";
    }

    /** One with an id that is known is that one, whatever else it says. */
    private String submit(MaintenanceRequest request) {
        List<MaintenanceTask> known = requests.get(request.id());
        if (known != null) {
            return known.get(0).request.equals(request) ? "" : "another request has that id";
        }
        if (!hasLimits()) {
            return "no bounds are agreed on yet: ask again";
        }
        if (openTasks.size() + request.machines().size() > limits.maxEntries()) {
            return "too much work is asked for";
        }
        List<MaintenanceTask> tasks = new ArrayList<>();
        for (String id : request.machines().isEmpty()
                ? List.of("")
                : new ArrayList<>(new TreeSet<>(request.machines()))) {
            MaintenanceTask task =
                    new MaintenanceTask(request, id, agreedTimeUs, nextSequenceNumber++);
            tasks.add(task);
            openTasks.add(task);
            String impossible = impossibleBecause(id);
            if (impossible != null) {
                finish(task, TaskState.REFUSED, impossible);
            }
        }
        requests.put(request.id(), tasks);
        taskCount += tasks.size();
        dropFinishedRequests();
        advanceTasks();
        return "";
    }

    /** Why it can't be granted even with all machines sound and here; null where it can. */
    private String impossibleBecause(String id) {
        if (id.isEmpty()) {
            return "it names no machine";
        }
        Machine machine = machines.get(id);
        if (machine == null) {
            return "no machine has that name";
        }
        String violation = new DisruptionBudget(limits, machines.values(), x -> true)
                .violationWithout(machine);
        return violation == null ? null : "it can never be granted: without it " + violation;
    }

    private String cancel(String request, String reason) {
        List<MaintenanceTask> tasks = requests.get(request);
        if (tasks == null) {
            return "no request has that id";
        }
        StringBuilder alreadyOut = new StringBuilder();
        for (MaintenanceTask task : tasks) {
            switch (task.state) {
                case WAITING, GRANTED -> finish(task, TaskState.CALLED_OFF, reason);
                case DRAINING -> {
                    task.cancelOnReturn = true;
                    task.requeueOnReturn = false;
                    task.reason = reason;
                    enter(task, TaskState.RETURNING);
                }
                case RETURNING -> {
                    if (task.requeueOnReturn) {
                        task.requeueOnReturn = false;
                        task.cancelOnReturn = true;
                        task.reason = reason;
                    }
                }
                case OUT, OVERDUE -> {
                    if (task.isActive()) {
                        alreadyOut
                                .append(
                                        alreadyOut.length() == 0
                                                ? "out already, say done when it is back: "
                                                : ", ")
                                .append(task.machine);
                    }
                }
                default -> {}
            }
        }
        advanceTasks();
        return alreadyOut.toString();
    }

    /**
     * This incarnation of its holder acts by that grant from now on. What comes by an older grant is
     * refused; and what a holder reads of work that an earlier incarnation of it began, it may be reading
     * from an old copy.
     */
    private String begin(String router, long fencingToken, String incarnation) {
        MaintenanceTask task = activeTask(router);
        if (task == null
                || task.fencingToken != fencingToken
                || !incarnations(router, incarnation)
                || (task.state != TaskState.GRANTED && task.state != TaskState.DRAINING)) {
            return "that grant is over";
        }
        if (task.state == TaskState.GRANTED) {
            begin(task);
        }
        task.startedBy = incarnation;
        advanceTasks();
        return "";
    }

    private void begin(MaintenanceTask task) {
        enter(task, TaskState.DRAINING);
        task.deadlineUs = NEVER;
    }

    private String confirmDrained(
            String machine, long fencingToken, String router, String incarnation) {
        MaintenanceTask task = activeTask(machine);
        if (task == null
                || task.fencingToken != fencingToken
                || task.state != TaskState.DRAINING
                || !incarnations(router, incarnation)) {
            return "that grant is over";
        }
        task.drainedBy.add(router + " " + incarnation);
        advanceTasks();
        return "";
    }

    /**
     * A router that was away has its door open again. Until it says so itself it may still be
     * closing it.
     */
    private String confirmServing(String router, String incarnation) {
        MaintenanceTask task = activeTask(router);
        if (task == null
                || task.state != TaskState.RETURNING
                || !incarnations(router, incarnation)) {
            return "nothing of it is returning";
        }
        task.servingAgain = true;
        advanceTasks();
        return "";
    }

    private String done(String request, String machine, String how) {
        List<MaintenanceTask> tasks = requests.get(request);
        if (tasks == null) {
            return "no request has that id";
        }
        String notOutYet = "";
        for (MaintenanceTask task : tasks) {
            if (!machine.isEmpty() && !task.machine.equals(machine)) {
                continue;
            }
            if (task.isActive() && how.equals("lost")) {
                finish(
                        task,
                        TaskState.OVERDUE,
                        "given up by its operator: the machine does not come back");
                removeMachine(task.machine);
                incarnations.remove(task.machine);
            } else if (task.state == TaskState.OUT
                    || (task.state == TaskState.OVERDUE && task.isActive())) {
                enter(task, TaskState.RETURNING);
            } else if (!task.isFinished() && task.state != TaskState.RETURNING) {
                notOutYet = "not out yet: " + task.machine;
            }
        }
        advanceTasks();
        return notOutYet;
    }

    private void enter(MaintenanceTask task, TaskState state) {
        activeTasks = null;
        task.state = state;
        task.stateSinceUs = agreedTimeUs;
    }

    private void finish(MaintenanceTask task, TaskState state, String reason) {
        enter(task, state);
        task.reason = reason;
        task.fencingToken = 0;
        task.drainedBy.clear();
        openTasks.remove(task);
        activeTasks = null;
    }

    private void dropFinishedRequests() {
        for (Iterator<List<MaintenanceTask>> remaining = requests.values().iterator();
                remaining.hasNext() && taskCount > limits.maxTasks(); ) {
            List<MaintenanceTask> tasks = remaining.next();
            if (tasks.stream().allMatch(MaintenanceTask::isFinished)) {
                taskCount -= tasks.size();
                remaining.remove();
            }
        }
    }

    // ---- What follows from what stands; the same for all. ----

    private void advanceTasks() {
        for (MaintenanceTask task : List.copyOf(openTasks)) {
            advance(task);
        }
        grantWaiting();
        // A grant may be carried out at once where nobody has anything open there.
        for (MaintenanceTask task : List.copyOf(openTasks)) {
            if (task.state == TaskState.DRAINING) {
                advance(task);
            }
        }
    }

    private void advance(MaintenanceTask task) {
        Machine machine = machines.get(task.machine);
        switch (task.state) {
            case WAITING -> {
                if (agreedTimeUs - task.requestedAtUs > task.request.startWithinUs()) {
                    finish(task, TaskState.OVERDUE, "it could not start in time: " + task.reason);
                }
            }
            case GRANTED -> {
                if (agreedTimeUs > task.deadlineUs) {
                    task.fencingToken = 0;
                    task.reason = "its machine has not begun by its grant";
                    enter(task, TaskState.WAITING);
                }
            }
            case DRAINING -> {
                if (task.grantedWhileFailed
                        && isHealthy(task.machine)
                        && machine != null
                        && violationWithout(machine) != null) {
                    requeue(
                            task,
                            machine,
                            "it was granted as one that had failed, and is sound again");
                    return;
                }
                String undrained = notYetDrained(task);
                String violation =
                        task.grantedWhileFailed || machine == null || !isHealthy(task.machine)
                                ? null
                                : violationWithout(machine);
                if (violation != null) {
                    // Danger: another machine has failed since; taken now, this one is what is
                    // left. Its
                    // operator has not been told that it is out, so it may serve on.
                    requeue(task, machine, "called back, since without it " + violation);
                    return;
                }
                task.reason = undrained == null ? "" : "not yet done with it: " + undrained;
                if (undrained == null) {
                    enter(task, TaskState.OUT);
                    task.deadlineUs = agreedTimeUs + task.request.durationUs();
                }
            }
            case OUT -> {
                if (agreedTimeUs > task.deadlineUs) {
                    task.reason = "it is out for longer than was asked";
                    enter(task, TaskState.OVERDUE);
                }
            }
            case RETURNING -> {
                boolean warm = machine != null
                        && isHealthy(task.machine)
                        && (task.servingAgain || !machine.isRouter())
                        && agreedTimeUs
                                >= Math.max(
                                                task.stateSinceUs,
                                                healthySince.getOrDefault(
                                                        task.machine, agreedTimeUs))
                                        + limits.warmUpUs();
                if (warm && task.requeueOnReturn) {
                    task.requeueOnReturn = false;
                    task.fencingToken = 0;
                    enter(task, TaskState.WAITING);
                } else if (warm) {
                    finish(
                            task,
                            task.cancelOnReturn ? TaskState.CALLED_OFF : TaskState.BACK,
                            task.cancelOnReturn ? task.reason : "");
                }
            }
            default -> {}
        }
    }

    /**
     * It was granted and is not out, and waits for another grant. A router that has begun may have
     * let its clients go by now, and counts again only once it has said that it serves.
     */
    private void requeue(MaintenanceTask task, Machine machine, String reason) {
        task.reason = reason;
        if (machine.isRouter()) {
            task.requeueOnReturn = true;
            enter(task, TaskState.RETURNING);
        } else {
            task.fencingToken = 0;
            enter(task, TaskState.WAITING);
        }
    }

    /**
     * The bound that is broken without this machine as things are now, if it counts itself; null
     * where none is. Danger: a failed machine is granted whatever its block lacks; come back, it is
     * what the block has left.
     */
    private String violationWithout(Machine machine) {
        return new DisruptionBudget(
                        limits,
                        machines.values(),
                        x -> x.equals(machine) || (isHealthy(x.id()) && activeTask(x.id()) == null))
                .violationWithout(machine);
    }

    /** Routers that have not said yet that they have nothing open there; null where all have. */
    private String notYetDrained(MaintenanceTask task) {
        StringBuilder undrained = new StringBuilder();
        Machine machine = machines.get(task.machine);
        incarnations.forEach((router, incarnation) -> {
            // A router's clients are its own affair; a data node may be sent to by all routers but
            // those that
            // have said that they serve nobody, and have not been started again since.
            MaintenanceTask ownTask = activeTask(router);
            boolean serves = (machine != null && machine.isRouter())
                    ? router.equals(task.machine)
                    : ownTask == null
                            || ownTask.state == TaskState.RETURNING
                            || !ownTask.drainedBy.contains(router + " " + incarnation);
            if (serves && !task.drainedBy.contains(router + " " + incarnation)) {
                undrained.append(undrained.length() == 0 ? "" : ", ").append(router);
            }
        });
        return undrained.length() == 0 ? null : undrained.toString();
    }

    /** As urgent as was said, and a step more for each aging that it has waited. */
    private long urgency(MaintenanceTask task) {
        return task.request.urgency() + (agreedTimeUs - task.requestedAtUs) / limits.agingStepUs();
    }

    private void grantWaiting() {
        List<MaintenanceTask> waiting = new ArrayList<>();
        for (MaintenanceTask task : openTasks) {
            if (task.state == TaskState.WAITING) {
                waiting.add(task);
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        DisruptionBudget budget = new DisruptionBudget(
                limits,
                machines.values(),
                machine -> isHealthy(machine.id()) && activeTask(machine.id()) == null);
        String standingViolation = budget.violation();
        waiting.sort(Comparator.comparingLong((MaintenanceTask task) -> -urgency(task))
                .thenComparingLong(task -> task.sequenceNumber));
        for (MaintenanceTask task : waiting) {
            Machine machine = machines.get(task.machine);
            boolean isAvailable = isHealthy(task.machine) && activeTask(task.machine) == null;
            if (activeTask(task.machine) != null) {
                task.reason = "other work is being done on it";
                continue;
            }
            if (standingViolation != null && isAvailable) {
                task.reason = "nothing is granted while " + standingViolation;
                continue;
            }
            // What has failed already counts for nothing; taking it out loses nothing more.
            String violation = isAvailable ? budget.violationWithout(machine) : null;
            if (violation != null) {
                task.reason = "without it " + violation;
                if (agreedTimeUs - task.requestedAtUs
                        >= STARVATION_AGING_STEPS * limits.agingStepUs()) {
                    budget.remove(
                            machine); // Its place is kept for it: those behind it that would be in
                    // its
                    // way wait.
                }
                continue;
            }
            if (isAvailable) {
                budget.remove(machine);
            }
            task.fencingToken = ++lastFencingToken;
            task.drainedBy.clear();
            task.servingAgain = false;
            task.startedBy = "";
            task.grantedWhileFailed = !isAvailable;
            task.reason = "";
            task.deadlineUs = agreedTimeUs + limits.grantTimeoutUs();
            enter(task, TaskState.GRANTED);
            if (!machine.isRouter()) {
                begin(task); // Nobody has to be awake for it: all routers leave it out from here
                // on.
            }
        }
    }

    // ---- Kept and read again. ----

    /** All of it, a line each; {@link #restore} makes the same from them. */
    public List<String> snapshot() {
        List<String> lines = new ArrayList<>();
        lines.add(LineCodec.encode("order", 1, agreedTimeUs, lastFencingToken, nextSequenceNumber));
        if (hasLimits()) {
            lines.add(limits.encode());
        }
        machines.values().forEach(machine -> lines.add(machine.encode()));
        unhealthySince.forEach((m, at) -> lines.add(LineCodec.encode("unsound", m, at)));
        healthySince.forEach((m, at) -> lines.add(LineCodec.encode("since", m, at)));
        incarnations.forEach(
                (router, incarnation) -> lines.add(LineCodec.encode("life", router, incarnation)));
        for (List<MaintenanceTask> tasks : requests.values()) {
            lines.add(tasks.get(0).request.encode());
            tasks.forEach(task -> lines.add(task.encode()));
        }
        return lines;
    }

    /**
     * Reads an order from its lines.
     *
     * @throws IllegalArgumentException where these are no lines of an order
     */
    public static MaintenanceStateMachine restore(List<String> lines) {
        MaintenanceStateMachine stateMachine = new MaintenanceStateMachine();
        MaintenanceRequest request = null;
        for (String line : lines) {
            List<String> fields = LineCodec.decode(line);
            switch (fields.get(0)) {
                case "order" -> {
                    if (!fields.get(1).equals("1")) {
                        throw new IllegalArgumentException("an order of version " + fields.get(1));
                    }
                    stateMachine.agreedTimeUs = Long.parseLong(fields.get(2));
                    stateMachine.lastFencingToken = Long.parseLong(fields.get(3));
                    stateMachine.nextSequenceNumber = Long.parseLong(fields.get(4));
                }
                case "bounds" -> stateMachine.limits = DisruptionLimits.decode(fields);
                case "machine" -> {
                    Machine machine = Machine.decode(fields);
                    stateMachine.machines.put(machine.id(), machine);
                }
                case "unsound" ->
                    stateMachine.unhealthySince.put(fields.get(1), Long.parseLong(fields.get(2)));
                case "since" ->
                    stateMachine.healthySince.put(fields.get(1), Long.parseLong(fields.get(2)));
                case "life" -> stateMachine.incarnations.put(fields.get(1), fields.get(2));
                case "request" -> {
                    request = MaintenanceRequest.decode(fields);
                    stateMachine.requests.put(request.id(), new ArrayList<>());
                }
                case "piece" -> {
                    if (request == null || !request.id().equals(fields.get(1))) {
                        throw new IllegalArgumentException("a piece without its request: " + line);
                    }
                    MaintenanceTask task = MaintenanceTask.decode(fields, request);
                    stateMachine.requests.get(request.id()).add(task);
                    stateMachine.taskCount++;
                    if (!task.isFinished()) {
                        stateMachine.openTasks.add(task);
                    }
                }
                default -> throw new IllegalArgumentException("no line of an order: " + line);
            }
        }
        stateMachine.openTasks.sort(Comparator.comparingLong(task -> task.sequenceNumber));
        return stateMachine;
    }
}
