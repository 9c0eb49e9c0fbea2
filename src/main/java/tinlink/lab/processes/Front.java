package tinlink.lab.processes;

import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedClient.Answer;
import tinlink.lab.Load;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/**
 * Clients whose home is one router, and who go elsewhere when it does not take what they ask. What
 * a fault of the rig's has taken from them is nobody's debt; everything else is owed an answer.
 */
public final class Front implements Load.Asker {
    public static final long BUDGET_MS = 1500;
    /** A router that has not taken one is left alone for so long. */
    private static final long SHUNNED_US = 300_000;

    private final Fleet fleet;
    private final Child home;
    private final List<Integer> cells;
    private final EmulatedClient clients;
    /** Times in which the router was killed, paused, or not back yet; a few a run. */
    private final List<long[]> away = new ArrayList<>();

    private long shunnedUntil;
    /** An operator has it, who was told that it serves nobody. */
    private boolean stopped;

    Front(Fleet fleet, Child home, List<Integer> cells) {
        this.fleet = fleet;
        this.home = home;
        this.cells = cells;
        clients = new EmulatedClient(
                fleet.ground, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
    }

    /** Where its router serves from now on. */
    void to(InetSocketAddress at) {
        clients.to(at);
        fleet.ground.run(() -> stopped = false);
        back();
    }

    /** An operator stops it. What was open there is owed an answer all the same. */
    void stopped() {
        fleet.ground.run(() -> stopped = true);
    }

    /** From now on the router can't be relied on, by a fault of the rig's or an operator's stop. */
    public void lost() {
        fleet.ground.run(() -> {
            if (away.isEmpty() || away.get(away.size() - 1)[1] != Long.MAX_VALUE) {
                away.add(new long[] {fleet.ground.now(), Long.MAX_VALUE});
            }
        });
    }

    /**
     * It can be again; what was open in between counts as lost with it for as long as a lookup may
     * take.
     */
    public void back() {
        fleet.ground.run(() -> {
            if (!away.isEmpty() && away.get(away.size() - 1)[1] == Long.MAX_VALUE) {
                away.get(away.size() - 1)[1] = fleet.ground.now();
            }
        });
    }

    private boolean wasAway(long fromUs, long toUs) {
        return away.stream().anyMatch(a -> a[0] <= toUs && a[1] >= fromUs);
    }

    private boolean isAway() {
        return !away.isEmpty() && away.get(away.size() - 1)[1] == Long.MAX_VALUE;
    }

    /** Asks at this one's router alone, whatever comes of it. */
    public void askHere(EmulatedClient.Ask a, Consumer<Answer> hears) {
        clients.ask(a, hears);
    }

    public int stray() {
        return clients.stray();
    }

    @Override
    public String name() {
        return home.name;
    }

    @Override
    public List<Integer> near() {
        return cells;
    }

    @Override
    public List<Integer> far() {
        return List.of();
    }

    @Override
    public void ask(Load.Asked a, Consumer<Answer> hears) {
        List<Front> order = new ArrayList<>(fleet.fronts.values());
        int at = order.indexOf(this);
        List<Front> some = new ArrayList<>(order.subList(at, order.size()));
        some.addAll(order.subList(0, at));
        // Those that took nothing a moment ago are asked after the others, and those that are known
        // to be
        // gone
        // last of all.
        long now = fleet.ground.now();
        some.sort(Comparator.comparingInt(
                f -> f.isAway() || f.stopped ? 2 : f.shunnedUntil > now ? 1 : 0));
        ask(a, some, 0, hears);
    }

    private void ask(Load.Asked a, List<Front> order, int from, Consumer<Answer> hears) {
        long now = fleet.ground.now();
        Front f = order.get(from);
        int next = from + 1;
        f.clients.ask(a.ask, answer -> {
            boolean took = f.wasAway(now, answer.atUs());
            if (answer.status() != 0) {
                a.gone |= took && answer.atUs() > a.dueUs + 1000 * BUDGET_MS;
                hears.accept(answer);
                return;
            }
            f.shunnedUntil = answer.atUs() + SHUNNED_US;
            // A close in order with no answer, or no connection at all, says that nothing was read.
            // What a
            // reset says is not known, so only what may be repeated is asked again.
            boolean untaken = answer.body().equals("PEER_CLOSED")
                    || answer.body().equals("REFUSED")
                    || answer.body().equals("NOT_UP");
            if (took) {
                a.gone = true;
                hears.accept(answer);
            } else if ((untaken || a.kind.idempotent()) && next < order.size()) {
                ask(a, order, next, hears);
            } else {
                // With all routers killed at once there is nobody who could owe it an answer; nor
                // with all
                // killed but one that is let go for work, which was granted while the others were
                // there.
                a.gone |= order.stream().anyMatch(o -> o.wasAway(a.dueUs, answer.atUs()))
                        && order.stream()
                                .allMatch(o -> o.stopped
                                        || o.wasAway(a.dueUs, answer.atUs())
                                        || fleet.history.isAskedFor(o.home.name));
                hears.accept(answer);
            }
        });
    }
}
