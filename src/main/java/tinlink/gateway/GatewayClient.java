package tinlink.gateway;

import tinlink.gateway.choice.FarRouter;
import tinlink.gateway.choice.Fate;
import tinlink.gateway.choice.Forwarded;
import tinlink.gateway.choice.Lane;
import tinlink.net.Ending;

import java.io.IOException;
import java.util.BitSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The near side of a gateway: carries out what each {@link FarRouter} decides about the parts that this
 * router passes on to other sites. Runs on the loop's thread.
 */
final class GatewayClient implements FarRouter.Hands {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final int REPEAT_FLAG = 1;
    private static final int KEY_FLAG = 2;

    private final Gateway gateway;
    /** Those of the file; none comes or goes in service. */
    private final Map<FarRouter, Gateway.Far> routers = new LinkedHashMap<>();
    /** One for each line that is up or being connected. */
    private final Map<Lane, NearSession> sessions = new IdentityHashMap<>();

    GatewayClient(Gateway gateway, List<Gateway.Far> far, int waiting, long seed) {
        this.gateway = gateway;
        SplittableRandom random = new SplittableRandom(seed);
        FarRouter.Patience patience =
                new FarRouter.Patience(gateway.times.beatUs(), waiting, gateway.times.recoverUs());
        for (Gateway.Far each : far) {
            routers.put(
                    new FarRouter(
                            each.router(),
                            each.lines().size(),
                            patience,
                            this::servedElsewhere,
                            random.split()),
                    each);
        }
    }

    private boolean servedElsewhere(int cell, FarRouter other) {
        return routers.keySet().stream()
                .anyMatch(router -> router != other && router.mayServe(cell));
    }

    void clock(long nowUs) {
        routers.keySet().forEach(router -> router.clock(nowUs));
    }

    /** Carries out all decisions that are due. */
    void decide() {
        routers.keySet().forEach(router -> Gateway.pull(() -> router.decide(this)));
    }

    String site(FarRouter router) {
        return routers.get(router).site();
    }

    /** The session has ended. @return whether it had been up */
    boolean closed(NearSession session) {
        sessions.remove(session.lane, session);
        return session.wasProved();
    }

    // ---- Decisions of a far router's. ----

    @Override
    public void connect(Lane lane) {
        Gateway.Far far = routers.get(lane.router);
        NearSession session = new NearSession(gateway, this, lane, far.site());
        try {
            sessions.put(lane, session);
            session.on(
                    gateway.network.connect(far.lines().get(lane.index), session),
                    gateway.times.handshakeUs() + gateway.times.longestUs() / 4);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "event=no_connection site=" + far.site(), e);
            sessions.remove(lane);
            lane.router.lost(lane, part -> false);
        }
    }

    @Override
    public void cut(Lane lane) {
        NearSession session = sessions.get(lane);
        if (session != null) {
            session.end(Ending.SILENT);
        }
    }

    @Override
    public void ping(Lane lane, long number, long lowest) {
        sessions.get(lane)
                .send(Wire.PING, new Wire.Out().eight(number).eight(lowest).made());
    }

    @Override
    public void send(Forwarded forwarded) {
        NearPart part = (NearPart) forwarded;
        long now = gateway.loop.now();
        Lane lane = part.lane();
        int flags = (part.repeat ? REPEAT_FLAG : 0) | (part.key == null ? 0 : KEY_FLAG);
        Wire.Out message = new Wire.Out()
                .eight(part.number())
                .eight(part.until - now - lane.spareUs())
                .eight(part.effectUntil == Long.MAX_VALUE ? Long.MAX_VALUE : part.effectUntil - now)
                .eight(lane.lastPong())
                .eight(lane.sincePongUs(now))
                .four(part.shard)
                .byt(flags)
                .text(part.index)
                .text(part.id);
        if (part.key != null) {
            message.text(part.key);
        }
        gateway.counters.add("near_parts");
        part.place = sessions.get(lane).send(Wire.PART, message.bytes(part.text).made());
    }

    @Override
    public void giveUp(Forwarded part) {
        NearSession session = sessions.get(part.lane());
        if (session != null && session.isProved()) {
            session.send(Wire.GIVE_UP, new Wire.Out().eight(part.number()).made());
        }
    }

    @Override
    public void askFates(Lane on, Lane about) {
        Set<Long> numbers = about.open().keySet();
        Wire.Out message = new Wire.Out()
                .two(about.index)
                .eight(about.ups())
                .eight(about.next())
                .two(numbers.size());
        numbers.forEach(message::eight);
        gateway.counters.add("near_fates_asked");
        sessions.get(on).send(Wire.FATES, message.made());
    }

    @Override
    public void ended(Forwarded forwarded, Fate fate) {
        NearPart part = (NearPart) forwarded;
        String name = fate.name().toLowerCase(Locale.ROOT);
        gateway.counters.add("near_" + name);
        if (part.wasUnsure() && !part.repeatable) {
            gateway.counters.add("near_unsure_" + (part.died() ? "died" : name));
        }
        gateway.stages.ended(part, fate.outcome, fate == Fate.DONE ? part.tookUs : -1);
    }

    @Override
    public void serves(FarRouter router, BitSet cells, long lineUs) {
        LOG.log(
                Level.FINE,
                "event=far_serves site={0} router={1} cells={2} line_us={3}",
                new Object[] {site(router), router.name, cells.cardinality(), String.valueOf(lineUs)
                });
        gateway.stages.serves(router, cells, lineUs);
    }

    @Override
    public void wake(FarRouter router, long at) {
        gateway.wakeAt(at);
    }
}
