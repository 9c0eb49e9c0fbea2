package tinlink.experiment.scale;

import tinlink.experiment.scale.CapacityFigure.Budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The rows of the tables of docs/CAPACITY.md, in their order. */
final class CapacityFigures {
    private static final String CONTROL = "query-router.control";
    private static final String USERS = "users";
    private static final String ONE_LOOP = "one loop, one core";
    private static final String DEPLOYED = "deploy/balancer.toml";
    private static final String EXAMPLE = "deploy/example.json";
    private static final Optional<Budget> NO_BUDGET = Optional.empty();
    private static final String LOOP_THREAD = "one loop owns all state (`tinlink.net`)";
    private static final String ONE_CONNECTION = "a connection to each node, kept while used";
    private static final String WATCH = "one watch a router, whole list first, then changes";

    private CapacityFigures() {}

    /** By role, at the size to plan with. */
    static List<CapacityFigure> byRole() {
        List<CapacityFigure> all = new ArrayList<>(serving());
        control(all, "Query router, control side", CONTROL, true);
        control(all, "Voter", "voter", true);
        control(all, "Leader", "leader", true);
        control(all, "Control machine", "control-machine", false);
        all.addAll(changes());
        all.addAll(discovery());
        all.addAll(dataNode());
        return all;
    }

    private static List<CapacityFigure> serving() {
        String group = "Query router, serving side";
        String role = ServingNames.ROUTER;
        double lookups = CapacityPlan.LOOKUPS_A_ROUTER;
        double calls = CapacityPlan.PART_CALLS_A_ROUTER;
        return List.of(
                new CapacityFigure(
                        group,
                        "processor time of the loop's thread",
                        "ms/s",
                        role,
                        "processor time a lookup, loop",
                        lookups,
                        Budget.most(CapacityPlan.LOOP_PROCESSOR_MS, ONE_LOOP),
                        LOOP_THREAD),
                new CapacityFigure(
                        group,
                        "processor time of all threads",
                        "ms/s",
                        role,
                        "processor time a lookup",
                        lookups,
                        Budget.most(CapacityPlan.LOOP_PROCESSOR_MS, ONE_LOOP),
                        LOOP_THREAD),
                new CapacityFigure(
                        group,
                        "largest rate of part calls borne",
                        "1/s",
                        role,
                        "knee",
                        1,
                        Budget.least(calls, "load of one router"),
                        LOOP_THREAD),
                new CapacityFigure(
                        group,
                        "answer beyond its slowest part, 99 of 100",
                        "ms",
                        role,
                        "added latency p99",
                        1,
                        Budget.most(CapacityPlan.ANSWER_MS, USERS),
                        LOOP_THREAD),
                new CapacityFigure(
                        group,
                        "allocation",
                        "MB/s",
                        role,
                        "allocation a lookup",
                        lookups / 1024,
                        NO_BUDGET,
                        "serial collector"),
                new CapacityFigure(
                        group,
                        "heap, list alone",
                        "MB",
                        role,
                        "heap",
                        1,
                        Budget.most(CapacityPlan.HEAP_MB, DEPLOYED),
                        "list held once a router"),
                new CapacityFigure(
                        group,
                        "memory outside the heap",
                        "MB",
                        role,
                        "direct memory",
                        1,
                        Budget.most(CapacityPlan.DIRECT_MB, DEPLOYED),
                        "buffers of the platform's channels"),
                new CapacityFigure(
                        group,
                        "resident memory",
                        "MB",
                        role,
                        "resident memory",
                        1,
                        Budget.most(CapacityPlan.RESIDENT_MB, EXAMPLE),
                        "bounds of the JVM"),
                new CapacityFigure(
                        group,
                        "connections to data nodes",
                        "1",
                        role,
                        "connections",
                        1,
                        Budget.most(CapacityPlan.SOCKETS_FOR_NODES, EXAMPLE),
                        ONE_CONNECTION),
                new CapacityFigure(
                        group,
                        "bytes to and from data nodes",
                        "MB/s",
                        role,
                        "bytes a part call",
                        calls / 1e6,
                        NO_BUDGET,
                        "frames over TCP"),
                new CapacityFigure(
                        group,
                        "messages to and from data nodes",
                        "1/s",
                        role,
                        "messages a part call",
                        calls,
                        NO_BUDGET,
                        "parts of one turn to one node share a frame"));
    }

    /** A router's budget holds for whatever role it has; control machines have none of their own. */
    private static void control(
            List<CapacityFigure> all, String group, String role, boolean isRouter) {
        all.add(new CapacityFigure(
                group,
                "processor time",
                "ms/s",
                role,
                "processor time a second",
                1,
                ofRouter(isRouter, CapacityPlan.CONTROL_PROCESSOR_MS),
                "`peers`, agreement, `work`"));
        all.add(new CapacityFigure(
                group,
                "heap",
                "MB",
                role,
                "heap",
                1,
                ofRouter(isRouter, CapacityPlan.CONTROL_MEMORY_MB),
                "state whole at each router"));
        all.add(new CapacityFigure(
                group,
                "bytes",
                "B/s",
                role,
                "bytes a second",
                1,
                ofRouter(isRouter, CapacityPlan.CONTROL_BYTES),
                "links between routers"));
        all.add(new CapacityFigure(
                group,
                "messages",
                "1/s",
                role,
                "messages a second",
                1,
                NO_BUDGET,
                "links between routers"));
        all.add(new CapacityFigure(
                group,
                "connections",
                "1",
                role,
                "connections",
                1,
                NO_BUDGET,
                "links between routers"));
        all.add(new CapacityFigure(
                group,
                "bytes a change",
                "B",
                role,
                "bytes a change",
                1,
                NO_BUDGET,
                "agreed log, a line for each router's yes"));
        all.add(new CapacityFigure(
                group,
                "messages a change",
                "1",
                role,
                "messages a change",
                1,
                NO_BUDGET,
                "agreed log"));
        all.add(new CapacityFigure(
                group,
                "processor time a change",
                "ms",
                role,
                "processor time a change",
                1,
                NO_BUDGET,
                "agreed log"));
    }

    private static Optional<Budget> ofRouter(boolean isRouter, double limit) {
        return isRouter ? Budget.most(limit, USERS) : NO_BUDGET;
    }

    private static List<CapacityFigure> changes() {
        String group = "A change of configuration";
        return List.of(
                new CapacityFigure(
                        group,
                        "in force everywhere, half of them",
                        "ms",
                        CONTROL,
                        "time to in force p50",
                        1,
                        NO_BUDGET,
                        "`policy`, agreed log"),
                new CapacityFigure(
                        group,
                        "in force everywhere, 99 of 100",
                        "ms",
                        CONTROL,
                        "time to in force p99",
                        1,
                        Budget.most(CapacityPlan.IN_FORCE_MS, USERS),
                        "`policy`, agreed log"));
    }

    private static List<CapacityFigure> discovery() {
        String group = "Discovery and its watches";
        String role = ServingNames.DISCOVERY;
        double routers = CapacityPlan.QUERY_ROUTERS;
        return List.of(
                new CapacityFigure(
                        group, "watches", "1", role, "watches a router", routers, NO_BUDGET, WATCH),
                new CapacityFigure(
                        group,
                        "bytes of one whole list",
                        "B",
                        role,
                        "bytes a list",
                        1,
                        NO_BUDGET,
                        WATCH),
                new CapacityFigure(
                        group,
                        "bytes a change of the list, all routers",
                        "B",
                        role,
                        "bytes a change",
                        routers,
                        NO_BUDGET,
                        WATCH),
                new CapacityFigure(
                        group,
                        "bytes while nothing changes, all routers",
                        "B/s",
                        role,
                        "bytes a second of an idle watch",
                        routers,
                        NO_BUDGET,
                        "an empty line each 2 s"));
    }

    private static List<CapacityFigure> dataNode() {
        String group = "Data node's side of our connections";
        String role = ServingNames.NODE;
        double calls = CapacityPlan.PART_CALLS_A_NODE;
        return List.of(
                new CapacityFigure(
                        group,
                        "connections",
                        "1",
                        role,
                        "connections a router",
                        CapacityPlan.QUERY_ROUTERS,
                        NO_BUDGET,
                        ONE_CONNECTION),
                new CapacityFigure(
                        group,
                        "bytes",
                        "MB/s",
                        role,
                        "bytes a part call",
                        calls / 1e6,
                        NO_BUDGET,
                        "frames over TCP"),
                new CapacityFigure(
                        group,
                        "messages",
                        "1/s",
                        role,
                        "messages a part call",
                        calls,
                        NO_BUDGET,
                        "frames over TCP"));
    }

    /** What each kind of failure costs. */
    static List<CapacityFigure> byFailure() {
        List<CapacityFigure> all = new ArrayList<>();
        String restart = "A router restarted or replaced (390 machines a day)";
        all.add(new CapacityFigure(
                restart,
                "until it serves",
                "ms",
                ServingNames.ROUTER,
                "start time",
                1,
                NO_BUDGET,
                "warm-up, whole list from discovery"));
        all.add(new CapacityFigure(
                restart,
                "bytes of the list",
                "B",
                ServingNames.DISCOVERY,
                "bytes a list",
                1,
                NO_BUDGET,
                WATCH));
        all.add(new CapacityFigure(
                restart,
                "until it knows what was agreed",
                "ms",
                CONTROL,
                "join time",
                1,
                NO_BUDGET,
                "snapshot and log of the agreement"));
        String together = "All 560 routers restarted within a minute";
        all.add(new CapacityFigure(
                together,
                "bytes of lists from discovery",
                "MB/s",
                ServingNames.DISCOVERY,
                "bytes a list",
                CapacityPlan.QUERY_ROUTERS / (60 * 1e6),
                NO_BUDGET,
                WATCH));
        listChanges(all, "A data node fails or is restarted (21 and 390 machines a day)", 2);
        listChanges(
                all,
                "A rack or switch (every month or two), taken as " + CapacityPlan.MACHINES_OF_A_RACK
                        + " nodes",
                CapacityPlan.MACHINES_OF_A_RACK);
        listChanges(
                all,
                "A zone (every other month): " + CapacityPlan.NODES_OF_A_ZONE + " nodes",
                CapacityPlan.NODES_OF_A_ZONE);
        all.add(new CapacityFigure(
                "A zone (every other month): " + CapacityPlan.ROUTERS_OF_A_ZONE + " routers",
                "a change in force on the others, 99 of 100",
                "ms",
                CONTROL,
                "time to in force p99, zone down",
                1,
                Budget.most(CapacityPlan.IN_FORCE_MS, USERS),
                "`absent` of the policy"));
        all.add(new CapacityFigure(
                "Regions lose each other (several times a year)",
                "a change in force on the side of the majority, 99 of 100",
                "ms",
                CONTROL,
                "time to in force p99, region cut off",
                1,
                Budget.most(CapacityPlan.IN_FORCE_MS, USERS),
                "majority of voters, `absent`"));
        all.add(new CapacityFigure(
                "The leader fails",
                "until a change goes on",
                "ms",
                CONTROL,
                "time to a new leader",
                1,
                NO_BUDGET,
                "election among voters"));
        return all;
    }

    private static void listChanges(List<CapacityFigure> all, String kind, int changes) {
        all.add(new CapacityFigure(
                kind,
                "processor time at each router",
                "ms",
                ServingNames.ROUTER,
                "processor time a change of the list",
                changes,
                NO_BUDGET,
                "the loop takes changes one by one"));
        all.add(new CapacityFigure(
                kind,
                "bytes from discovery to each router",
                "B",
                ServingNames.DISCOVERY,
                "bytes a change",
                changes,
                NO_BUDGET,
                WATCH));
    }
}
