package tinlink.gateway;

import tinlink.gateway.choice.Fate;
import tinlink.gateway.choice.Origin;
import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.sealed.Message;
import tinlink.sealed.Session;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The far side of a line: whoever connects proves who it is, then hands parts over and asks about
 * them.
 */
final class FarSession extends Session {
    private static final Logger LOG = Logger.getLogger("tinlink.gateway");
    private static final int MOST_PONGS = 64;
    private final Gateway gateway;
    private final GatewayServer server;
    private byte[] hello;
    private byte[] challenge;
    private String keyId = "";
    private String site = "";
    private String router = "";
    private int line;
    private long incarnation;
    Origin origin;
    /** When heartbeats were answered, by number; the newest. */
    private final LinkedHashMap<Long, Long> ponged = new LinkedHashMap<>();

    FarSession(Gateway gateway, GatewayServer server) {
        super(gateway.loop, gateway.times.handshakeUs(), Wire.MOST_BEFORE, Wire.MOST);
        this.gateway = gateway;
        this.server = server;
    }

    @Override
    protected void said(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (hello == null) {
            greeted(type, in, whole);
        } else if (origin == null) {
            proved(type, in);
        } else {
            switch (type) {
                case Wire.PART -> part(in);
                case Wire.GIVE_UP -> server.taker.givenUp(origin, in.getLong());
                case Wire.FATES -> asked(in);
                case Wire.PING -> {
                    long number = in.getLong();
                    server.taker.lowest(origin, in.getLong());
                    send(Wire.PONG, new Wire.Out().eight(number).made());
                    ponged.put(number, gateway.loop.now());
                    if (ponged.size() > MOST_PONGS) {
                        ponged.remove(ponged.keySet().iterator().next());
                    }
                    server.heard(this);
                }
                default -> throw Wire.bad("a message of type " + type);
            }
        }
    }

    private void greeted(byte type, ByteBuffer in, byte[] whole) throws BadMessage {
        if (type != Wire.HELLO || in.getShort() != Wire.VERSION) {
            throw Wire.bad("no greeting of this version");
        }
        keyId = Wire.text(in);
        site = Wire.text(in);
        router = Wire.text(in);
        line = in.getShort();
        incarnation = in.getLong();
        Wire.bytes(in, Wire.NONCE);
        if (!gateway.keys.has(keyId)
                || !gateway.names.accepts().contains(site)
                || line < 0
                || line >= Gateway.MOST_LINES) {
            throw Wire.bad("a site or a key that is not known here: " + site + ", " + keyId);
        }
        hello = java.util.Arrays.copyOfRange(whole, 1, in.position());
        challenge = new Message.Out()
                .two(Wire.VERSION)
                .text(gateway.names.site())
                .text(gateway.names.router())
                .eight(gateway.names.incarnation())
                .bytes(gateway.nonce())
                .made();
        within(
                gateway.times
                        .handshakeUs()); // Its proof is a round trip away, however long the line
        // is.
        send(
                Wire.CHALLENGE,
                new Message.Out()
                        .bytes(challenge)
                        .bytes(gateway.keys.proof(keyId, "far proof", hello, challenge))
                        .made());
    }

    private void proved(byte type, ByteBuffer in) throws BadMessage {
        if (type != Wire.PROOF) {
            throw Wire.bad("no proof");
        }
        byte[] next = Wire.bytes(in, 2 * Long.BYTES);
        byte[] proof = Wire.bytes(in, Wire.PROOF_BYTES);
        if (!gateway.keys.has(keyId)
                || !Keys.same(
                        proof, gateway.keys.proof(keyId, "near proof", hello, challenge, next))) {
            gateway.counters.add("far_wrong_proof");
            throw Wire.bad("a wrong proof");
        }
        sealed(gateway.keys.proof(keyId, "session", hello, challenge), false);
        ByteBuffer counts = ByteBuffer.wrap(next);
        origin = server.taker.opened(
                site + "/" + router, line, incarnation, counts.getLong(), counts.getLong(), this);
        if (origin == null) {
            throw Wire.bad("too many routers are connected");
        }
        gateway.counters.add("far_lines_up");
        LOG.log(Level.INFO, "event=near_up site={0} router={1} line={2}", new Object[] {
            site, router, line
        });
        server.proved(this);
    }

    private void part(ByteBuffer in) throws BadMessage {
        long number = in.getLong();
        long leftUs = in.getLong();
        long effectUs = in.getLong();
        Long pongedAt = ponged.get(in.getLong());
        long heldUs = in.getLong();
        int shard = in.getInt();
        int flags = in.get();
        String index = Wire.text(in);
        String id = Wire.text(in);
        String key = (flags & 2) == 0 ? null : Wire.text(in);
        if (number < 1 || heldUs < 0) {
            throw Wire.bad("a part out of range");
        }
        gateway.counters.add("far_parts");
        // Danger: a line that holds a part back for long and then brings it. Its age is no more
        // than the time
        // since the answer to a heartbeat left here, less the time for which its near router has
        // had that
        // answer: a round trip, which is also what its own answer needs. An old answer can't be
        // told apart
        // and counts as too old.
        long now = gateway.loop.now();
        long ageUs = pongedAt == null ? Long.MAX_VALUE / 2 : Math.max(0, now - pongedAt - heldUs);
        long mayUs = Math.min(leftUs, effectUs) - ageUs;
        server.taker.part(
                origin,
                new FarPart(
                        origin,
                        number,
                        now,
                        mayUs,
                        id,
                        index,
                        shard,
                        key,
                        Wire.bytes(in, in.remaining()),
                        (flags & 1) != 0),
                mayUs > 0);
    }

    private void asked(ByteBuffer in) throws BadMessage {
        int about = in.getShort();
        long ups = in.getLong();
        long fence = in.getLong();
        int count = in.getShort() & 0xffff;
        if (count > Wire.MOST_FATES || in.remaining() != count * Long.BYTES) {
            throw Wire.bad("a list of fates that does not fit");
        }
        Set<Long> numbers = new HashSet<>();
        for (int i = 0; i < count; i++) {
            numbers.add(in.getLong());
        }
        server.taker.asked(origin, this, about, ups, fence, numbers);
    }

    @SuppressWarnings("EnumOrdinal") // The protocol numbers fates in their order.
    void say(int about, long number, Fate fate, FarPart p) {
        boolean value = p != null && fate == Fate.DONE;
        send(
                Wire.SAY,
                new Message.Out()
                        .two(about)
                        .eight(number)
                        .byt(fate.ordinal())
                        .eight(p == null ? 0 : p.tookUs)
                        .eight(p == null ? 0 : p.comeBackUs)
                        .bytes(value ? p.value : new byte[0])
                        .made());
    }

    @Override
    protected void over(Ending how) {
        server.closed(this);
        if (origin != null) {
            LOG.log(
                    Level.INFO,
                    "event=near_down site={0} router={1} line={2} how={3}",
                    new Object[] {site, router, line, how});
            server.taker.closed(origin, this);
        } else {
            gateway.counters.add("far_refused");
        }
    }

    @Override
    protected String peer() {
        return site + "/" + router;
    }

    @Override
    protected void counted(String what) {
        gateway.counters.add("far_" + what);
    }

    @Override
    protected Logger log() {
        return LOG;
    }
}
