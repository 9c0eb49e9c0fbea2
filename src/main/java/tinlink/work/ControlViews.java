package tinlink.work;

import tinlink.work.choice.Machine;
import tinlink.work.choice.Order;
import tinlink.work.choice.Piece;
import tinlink.work.choice.Request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Requests and machines as operators are shown them, ready to be written as JSON. */
final class ControlViews {
    private static final int MICROS_PER_MILLI = 1000;

    private final Work work;

    ControlViews(Work work) {
        this.work = work;
    }

    private Order order() {
        return work.order();
    }

    /** The answer, with which router gives it and who is known to lead. */
    Map<String, Object> withLeader(Map<String, ?> answer) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("said", "");
        all.put("router", work.peers().incarnation().router());
        all.put("leader", work.peers().leader());
        if (work.peers().leader().isEmpty()) {
            all.put(
                    "note",
                    "nobody is known to lead: nothing is granted until most voters are there");
        }
        all.putAll(answer);
        return all;
    }

    /** @param pieces all of one request */
    Map<String, Object> request(List<Piece> pieces) {
        Request request = pieces.get(0).request();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("id", request.id());
        all.put("for_ms", request.forUs() / MICROS_PER_MILLI);
        all.put("urgency", request.urgency());
        all.put("author", request.author());
        all.put("reason", request.why());
        all.put("over", pieces.stream().allMatch(Piece::over));
        List<Object> machines = new ArrayList<>();
        pieces.forEach(piece -> machines.add(piece(piece)));
        all.put("machines", machines);
        return all;
    }

    private Map<String, Object> piece(Piece piece) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("machine", piece.machine());
        all.put("state", piece.state().shown());
        all.put("why", piece.why());
        all.put("fence", piece.fence());
        all.put("away", piece.away());
        all.put("since_ms", (order().now() - piece.since()) / MICROS_PER_MILLI);
        return all;
    }

    Map<String, Object> machine(Machine machine) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("id", machine.id());
        all.put("kind", machine.isRouter() ? "router" : "node");
        if (!machine.isRouter()) {
            all.put("cell", machine.cell());
        }
        all.put("zone", machine.zone());
        all.put("site", machine.site());
        all.put("voter", machine.voter());
        all.put("sound", order().sound(machine.id()));
        Piece away = order().away(machine.id());
        all.put("away", away == null ? "" : away.request().id());
        return all;
    }
}
