package tinlink.experiment.processes;

import tinlink.emulator.EmulatedClient;
import tinlink.emulator.EmulatedClient.LookupResponse;
import tinlink.experiment.LoadGenerator;

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
public final class ClientGroup implements LoadGenerator.LookupTarget {
    public static final long BUDGET_MS = 1500;
    /** A router that has not taken one is left alone for so long. */
    private static final long SHUNNED_US = 300_000;

    private final Fleet fleet;
    private final RouterProcess home;
    private final List<Integer> cells;
    private final EmulatedClient clients;
    /** Times in which the router was killed, paused, or not back yet; a few a run. */
    private final List<long[]> outages = new ArrayList<>();

    private long shunnedUntil;
    /** An operator has it, who was told that it serves nobody. */
    private boolean stopped;

    ClientGroup(Fleet fleet, RouterProcess home, List<Integer> cells) {
        this.fleet = fleet;
        this.home = home;
        this.cells = cells;
        clients = new EmulatedClient(
                fleet.emulatorLoop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
    }

    /** Where its router serves from now on. */
    void connectTo(InetSocketAddress at) {
        clients.connectTo(at);
        fleet.emulatorLoop.run(() -> stopped = false);
        routerBack();
    }

    /** An operator stops it. What was open there is owed an answer all the same. */
    void stopped() {
        fleet.emulatorLoop.run(() -> stopped = true);
    }

    /** From now on the router can't be relied on, by a fault of the rig's or an operator's stop. */
    public void routerLost() {
        fleet.emulatorLoop.run(() -> {
            if (outages.isEmpty() || outages.get(outages.size() - 1)[1] != Long.MAX_VALUE) {
                outages.add(new long[] {fleet.emulatorLoop.now(), Long.MAX_VALUE});
            }
        });
    }

    /**
     * It can be again; what was open in between counts as lost with it for as long as a lookup may
     * take.
     */
    public void routerBack() {
        fleet.emulatorLoop.run(() -> {
            if (!outages.isEmpty() && outages.get(outages.size() - 1)[1] == Long.MAX_VALUE) {
                outages.get(outages.size() - 1)[1] = fleet.emulatorLoop.now();
            }
        });
    }

    private boolean wasUnavailable(long fromUs, long toUs) {
        return outages.stream().anyMatch(a -> a[0] <= toUs && a[1] >= fromUs);
    }

    private boolean isUnavailable() {
        return !outages.isEmpty() && outages.get(outages.size() - 1)[1] == Long.MAX_VALUE;
    }

    /** Asks at this one's router alone, whatever comes of it. */
    public void sendHere(EmulatedClient.LookupRequest a, Consumer<LookupResponse> hears) {
        clients.send(a, hears);
    }

    public int unsolicited() {
        return clients.unsolicited();
    }

    @Override
    public String name() {
        return home.name;
    }

    @Override
    public List<Integer> localCells() {
        return cells;
    }

    @Override
    public List<Integer> remoteCells() {
        return List.of();
    }

    @Override
    public void send(LoadGenerator.LookupRecord a, Consumer<LookupResponse> hears) {
        List<ClientGroup> order = new ArrayList<>(fleet.clientGroups.values());
        int at = order.indexOf(this);
        List<ClientGroup> some = new ArrayList<>(order.subList(at, order.size()));
        some.addAll(order.subList(0, at));
        // Those that took nothing a moment ago are asked after the others, and those that are known
        // to be
        // gone
        // last of all.
        long now = fleet.emulatorLoop.now();
        some.sort(Comparator.comparingInt(
                f -> f.isUnavailable() || f.stopped ? 2 : f.shunnedUntil > now ? 1 : 0));
        send(a, some, 0, hears);
    }

    private void send(
            LoadGenerator.LookupRecord a,
            List<ClientGroup> order,
            int from,
            Consumer<LookupResponse> hears) {
        long now = fleet.emulatorLoop.now();
        ClientGroup f = order.get(from);
        int next = from + 1;
        f.clients.send(a.ask, answer -> {
            boolean took = f.wasUnavailable(now, answer.atUs());
            if (answer.status() != 0) {
                a.excused |= took && answer.atUs() > a.dueUs + 1000 * BUDGET_MS;
                hears.accept(answer);
                return;
            }
            f.shunnedUntil = answer.atUs() + SHUNNED_US;
            // A close in order with no answer, or no connection at all, says that nothing was read.
            // What a
            // reset says is not known, so only what may be repeated is asked again.
            boolean untaken = answer.body().equals("PEER_CLOSED")
                    || answer.body().equals("CONNECT_REFUSED")
                    || answer.body().equals("CONNECT_TIMEOUT");
            if (took) {
                a.excused = true;
                hears.accept(answer);
            } else if ((untaken || a.kind.isIdempotent()) && next < order.size()) {
                send(a, order, next, hears);
            } else {
                // With all routers killed at once there is nobody who could owe it an answer; nor
                // with all
                // killed but one that is let go for work, which was granted while the others were
                // there.
                a.excused |= order.stream().anyMatch(o -> o.wasUnavailable(a.dueUs, answer.atUs()))
                        && order.stream()
                                .allMatch(o -> o.stopped
                                        || o.wasUnavailable(a.dueUs, answer.atUs())
                                        || fleet.history.isAskedFor(o.home.name));
                hears.accept(answer);
            }
        });
    }
}
