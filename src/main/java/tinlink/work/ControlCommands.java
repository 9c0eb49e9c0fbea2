package tinlink.work;

import tinlink.policy.PolicyRolloutService;
import tinlink.start.JsonFile;
import tinlink.work.choice.Machine;
import tinlink.work.choice.Order;
import tinlink.work.choice.Piece;
import tinlink.work.choice.Request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * An operator's commands about work on machines. A command that reads is answered at once from what this
 * router has heard; one that changes something is put to the vote, and answered with what came of that.
 */
final class ControlCommands {
    private static final int MAX_PATTERNS = 1000;
    /** Milliseconds. */
    private static final double LONGEST = 1e10;

    private final Work work;
    private final ControlViews views;
    /** Null where policy is off. */
    private final PolicyControlCommands policyCommands;

    private final PolicyRolloutService policyRollout;

    /** @param policyRollout null where it is off */
    ControlCommands(Work work, PolicyRolloutService policyRollout) {
        this.work = work;
        this.policyRollout = policyRollout;
        views = new ControlViews(work);
        policyCommands = policyRollout == null ? null : new PolicyControlCommands(policyRollout, views);
    }

    /** @throws tinlink.start.BadInput where the request can't be understood; it names the field */
    void execute(JsonFile request, ControlConnection to) {
        String command = request.text("do");
        if (command.startsWith(PolicyControlCommands.PREFIX)) {
            if (policyCommands == null) {
                throw request.bad(
                        "do", "is of policy, which is off here: 'policy' in the work file");
            }
            policyCommands.execute(command, request, to);
            return;
        }
        switch (command) {
            case "ask" -> ask(request, to);
            case "list" -> list(request, to);
            case "show" -> show(request, to);
            case "machines" -> machines(request, to);
            case "router" -> router(request, to);
            case "done" ->
                propose(
                        Order.doneWords(
                                request.text("id"),
                                request.text("machine", ""),
                                request.flag("lost", false)),
                        request,
                        to);
            case "call-off" ->
                propose(
                        Order.callOffWords(request.text("id"), request.text("why", "called off")),
                        request,
                        to);
            case "ended" -> ended(request, to);
            case "seat" -> seat(request, to);
            default ->
                throw request.bad(
                        "do",
                        "is none of ask, list, show, machines, router, done, "
                                + "call-off, ended, seat: " + command);
        }
    }

    private Order order() {
        return work.order();
    }

    // ---- What is read. ----

    private void list(JsonFile request, ControlConnection to) {
        request.nothingElse();
        List<Object> requests = new ArrayList<>();
        order().requests().forEach(pieces -> requests.add(views.request(pieces)));
        to.answer(ControlConnection.OK, views.withLeader(Map.of("requests", requests)));
    }

    private void show(JsonFile request, ControlConnection to) {
        String id = request.text("id");
        request.nothingElse();
        List<Piece> pieces = order().request(id);
        if (pieces.isEmpty()) {
            to.answer(
                    ControlConnection.NOT_FOUND,
                    views.withLeader(Map.of(
                            "said", "no request has that id, as far as this router has heard")));
        } else {
            to.answer(
                    ControlConnection.OK,
                    views.withLeader(Map.of("request", views.request(pieces))));
        }
    }

    private void machines(JsonFile request, ControlConnection to) {
        request.nothingElse();
        List<Object> machines = new ArrayList<>();
        order().machines().forEach(machine -> machines.add(views.machine(machine)));
        to.answer(ControlConnection.OK, views.withLeader(Map.of("machines", machines)));
    }

    private void router(JsonFile request, ControlConnection to) {
        request.nothingElse();
        to.answer(ControlConnection.OK, views.withLeader(work.shown()));
    }

    // ---- What is put to the vote. ----

    private void propose(String command, JsonFile request, ControlConnection to) {
        request.nothingElse();
        work.propose(command, to::answerAgreed);
    }

    /** A router's process has ended for good, by the operator's word. */
    private void ended(JsonFile request, ControlConnection to) {
        String router = request.text("router");
        request.nothingElse();
        String life = order().life(router);
        if (policyRollout != null) {
            policyRollout.removeRouter(router);
        }
        if (life == null) {
            to.answer(ControlConnection.OK, Map.of("said", ""));
        } else {
            propose(Order.endedWords(router, life), request, to);
        }
    }

    /** Another router is to vote in a voter's place. */
    private void seat(JsonFile request, ControlConnection to) {
        String from = request.text("from");
        String by = request.text("to");
        request.nothingElse();
        work.peers().replaceVoter(from, by);
        // Whoever leads does it as soon as that is safe; it is heard by asking who votes.
        String said = work.peers().leader().isEmpty() ? "nobody is known to lead: ask again" : "";
        to.answer(ControlConnection.OK, views.withLeader(Map.of("said", said)));
    }

    /** Asks for machines. */
    private void ask(JsonFile json, ControlConnection to) {
        String id = json.text("id");
        List<String> patterns = json.texts("machines");
        long forUs = json.micros("for_ms", 0, 1, LONGEST);
        long withinUs =
                json.has("within_ms") ? json.micros("within_ms", 0, 1, LONGEST) : Long.MAX_VALUE;
        int urgency = json.whole("urgency", 5, 0, Request.MOST_URGENCY);
        String author = json.text("author", "unknown");
        String why = json.text("why", "work");
        json.nothingElse();
        if (forUs <= 0) {
            throw json.bad("for_ms", "is missing: how long each machine is out");
        }
        if (patterns.size() > MAX_PATTERNS) {
            throw json.bad("machines", "names more than " + MAX_PATTERNS);
        }
        List<Piece> known = order().request(id);
        if (!known.isEmpty()) {
            // Asked before: what was named then may mean other machines by now, and is not found
            // anew.
            to.answer(ControlConnection.OK, Map.of("said", "", "request", views.request(known)));
            return;
        }
        Set<String> machines = new TreeSet<>();
        for (String pattern : patterns) {
            List<String> found = select(pattern);
            if (found.isEmpty() && MachinePattern.isPairs(pattern)) {
                to.answer(
                        ControlConnection.BAD_REQUEST,
                        Map.of("said", "no machine is meant by " + pattern));
                return;
            }
            machines.addAll(found.isEmpty() ? List.of(pattern) : found);
        }
        propose(
                Order.askWords(new Request(
                        id, List.copyOf(machines), forUs, withinUs, urgency, author, why)),
                json,
                to);
    }

    private List<String> select(String pattern) {
        return order().machines().stream()
                .filter(machine -> MachinePattern.matches(pattern, machine))
                .map(Machine::id)
                .toList();
    }
}
