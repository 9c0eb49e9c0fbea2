package tinlink.gateway;

import tinlink.gateway.choice.Fate;
import tinlink.gateway.choice.Forwarded;
import tinlink.gateway.choice.Lane;
import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.sealed.Message;
import tinlink.sealed.Session;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The near side of a line to a far router: calls it, proves itself, passes parts on and hears of
 * their fates.
 */
final class NearSession extends Session {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private final Gateway gateway;
    private final GatewayClient client;
    final Lane lane;
    private final String site;
    private String keyId;
    private byte[] hello;
    private long saidAt;

    NearSession(Gateway gateway, GatewayClient client, Lane lane, String site) {
        super(gateway.loop, gateway.times.handshakeUs(), Wire.MOST_BEFORE, Wire.MOST);
        this.gateway = gateway;
        this.client = client;
        this.lane = lane;
        this.site = site;
    }

    @Override
    public void up() {
        keyId = gateway.keys.use();
        hello = new Message.Out()
                .two(Wire.VERSION)
                .text(keyId)
                .text(gateway.names.site())
                .text(gateway.names.router())
                .two(lane.index)
                .eight(gateway.names.incarnation())
                .bytes(gateway.nonce())
                .made();
        saidAt = gateway.loop.now();
        send(Wire.HELLO, hello);
    }

    @Override
    protected void said(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (!isProved()) {
            challenged(type, in, whole);
            return;
        }
        switch (type) {
            case Wire.PONG -> lane.router.ponged(lane, in.getLong());
            case Wire.WINDOW -> lane.router.window(Math.max(0, in.getInt()));
            case Wire.CELLS -> lane.router.serves(BitSet.valueOf(in));
            case Wire.BYE -> {
                LOG.log(Level.INFO, "event=far_leaves site={0} router={1}", new Object[] {
                    site, lane.router.name
                });
                lane.router.leaves(lane, in.getLong());
            }
            case Wire.SAY -> fate(in);
            default -> throw Wire.bad("a message of type " + type);
        }
    }

    /** The far router says who it is, and proves it with our nonce; then we do with its own. */
    private void challenged(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (type != Wire.CHALLENGE || in.getShort() != Wire.VERSION) {
            throw Wire.bad("no challenge of this version");
        }
        String far = Wire.text(in);
        String router = Wire.text(in);
        long incarnation = in.getLong();
        Wire.bytes(in, Wire.NONCE);
        int end = in.position();
        byte[] proof = Wire.bytes(in, Wire.PROOF_BYTES);
        byte[] challenge = java.util.Arrays.copyOfRange(whole, 1, end);
        if (!far.equals(site) || !router.equals(lane.router.name)) {
            throw Wire.bad("it is " + far + "/" + router + ", not who was called");
        }
        if (!gateway.keys.has(keyId)
                || !Keys.same(proof, gateway.keys.proof(keyId, "far proof", hello, challenge))) {
            gateway.counters.add("near_wrong_proof");
            throw Wire.bad("a wrong proof");
        }
        byte[] next = new Message.Out().eight(lane.ups() + 1).eight(lane.next()).made();
        send(
                Wire.PROOF,
                new Message.Out()
                        .bytes(next)
                        .bytes(gateway.keys.proof(keyId, "near proof", hello, challenge, next))
                        .made());
        sealed(gateway.keys.proof(keyId, "session", hello, challenge), true);
        gateway.counters.add("near_lines_up");
        LOG.log(
                Level.INFO,
                "event=line_up site={0} router={1} line={2} round_trip_us={3}",
                new Object[] {site, router, lane.index, String.valueOf(gateway.loop.now() - saidAt)
                });
        lane.router.up(lane, incarnation, gateway.loop.now() - saidAt);
    }

    @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
    private void fate(ByteBuffer in) throws BadMessage {
        int line = in.getShort();
        long number = in.getLong();
        int fate = in.get();
        long tookUs = in.getLong();
        long comeBackUs = in.getLong();
        if (line < 0
                || line >= lane.router.lanes.size()
                || fate < 0
                || fate >= Fate.values().length) {
            throw Wire.bad("a fate of what was never sent");
        }
        Lane about = lane.router.lanes.get(line);
        if (number < 1 || number >= about.next()) {
            throw Wire.bad("a fate of what was never sent");
        }
        Forwarded open = lane.router.open(about, number);
        if (open instanceof NearPart p) {
            p.value = Wire.bytes(in, in.remaining());
            p.tookUs = Math.max(1, Math.min(tookUs, gateway.loop.now() - p.sentAt));
            p.comeBackUs = Math.max(0, comeBackUs);
            lane.router.fate(about, number, Fate.values()[fate]);
        }
    }

    @Override
    protected void over(Ending how) {
        boolean was = client.closed(this);
        LOG.log(
                was ? Level.WARNING : Level.FINE,
                "event=line_down site={0} router={1} line={2} how={3} open={4}",
                new Object[] {
                    site, lane.router.name, lane.index, how, lane.open().size()
                });
        gateway.counters.add(
                was
                        ? "near_lines_" + how.name().toLowerCase(java.util.Locale.ROOT)
                        : "near_not_up");
        lane.router.lost(lane, p -> link.left(((NearPart) p).place));
    }

    @Override
    protected String peer() {
        return site + "/" + lane.router.name;
    }

    @Override
    protected void counted(String what) {
        gateway.counters.add("near_" + what);
    }

    @Override
    protected Logger log() {
        return LOG;
    }
}
