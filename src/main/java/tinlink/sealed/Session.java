package tinlink.sealed;

import tinlink.net.BadMessage;
import tinlink.net.Ending;
import tinlink.net.Link;
import tinlink.net.Loop;
import tinlink.net.Ring;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One connection between two routers, on either side: messages out and in, sealed once both have
 * proved themselves.
 */
public abstract class Session implements Link.Owner, FrameIn.Sink {
    private final Loop loop;
    private final FrameIn reader;
    protected Link link;
    private Keys.Seal outSeal;
    private Keys.Seal inSeal;
    /**
     * Runs until both sides have proved themselves, and while a message has begun and not come
     * whole.
     */
    private Loop.Timer limit;

    private final long limitUs;
    private boolean proved;

    /**
     * @param limitUs a handshake, and each message, has to come whole within it
     * @param before how long a message may be until both have proved themselves; after that
     *     {@code most}
     */
    protected Session(Loop loop, long limitUs, int before, int most) {
        this.loop = loop;
        this.limitUs = limitUs;
        reader = new FrameIn(this, before, most);
    }

    public void on(Link link, long handshakeUs) {
        this.link = link;
        within(handshakeUs);
    }

    /** The next message of the handshake has to come within that time. */
    protected void within(long handshakeUs) {
        loop.takeBack(limit);
        limit = loop.at(loop.now() + handshakeUs, () -> link.end(Ending.NOT_UP));
    }

    /** From here on each message is sealed; the two directions have keys of their own. */
    protected void sealed(byte[] secret, boolean near) {
        byte[] toFar = Keys.mac(secret, "to the far side");
        byte[] toNear = Keys.mac(secret, "to the near side");
        outSeal = new Keys.Seal(near ? toFar : toNear);
        inSeal = new Keys.Seal(near ? toNear : toFar);
        proved = true;
        reader.proved();
        loop.takeBack(limit);
        limit = null;
    }

    /** Ends the connection, if it is there yet. */
    public void end(Ending how) {
        if (link != null) {
            link.end(how);
        }
    }

    /** It is, or was until it ended. */
    public boolean wasProved() {
        return proved;
    }

    public boolean isProved() {
        return proved && !link.isOver();
    }

    /** Bytes that wait to be taken by the kernel. */
    public int backlog() {
        return link.out().size();
    }

    /** The place in the stream where the message ends. */
    public long send(byte type, byte[] body) {
        byte[] seal = outSeal == null ? new byte[0] : outSeal.next(type, body, 0, body.length);
        int length = 1 + body.length + seal.length;
        Ring out = link.out();
        out.put(new byte[] {
            (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length, type
        });
        out.put(body).put(seal);
        return link.later();
    }

    @Override
    public void arrived(Ring in) {
        try {
            reader.read(in);
        } catch (BadMessage | BufferUnderflowException e) {
            log().log(Level.FINE, "event=spoilt_message peer={0} why=\"{1}\"", new Object[] {
                peer(), e.getMessage()
            });
            counted("spoilt");
            link.end(Ending.BAD_INPUT);
        }
        if (proved && !link.isOver() && reader.between() != (limit == null)) {
            loop.takeBack(limit);
            // Danger: a message that stops in its middle, or whose length was spoilt, holds up all
            // behind it.
            limit = reader.between()
                    ? null
                    : loop.at(loop.now() + limitUs, () -> link.end(Ending.BAD_INPUT));
        }
    }

    @Override
    public void message(byte type, byte[] whole) throws BadMessage {
        int end = whole.length;
        if (proved) {
            end -= Message.SEAL_BYTES;
            if (end < 1
                    || !Keys.same(
                            inSeal.next(type, whole, 1, end - 1),
                            Arrays.copyOfRange(whole, end, whole.length))) {
                throw Message.bad("a wrong seal");
            }
        }
        if (!link.isOver()) {
            said(type, ByteBuffer.wrap(whole, 1, end - 1), whole);
        }
    }

    @Override
    public void ended(Ending how) {
        loop.takeBack(limit);
        over(how);
    }

    /**
     * A message has come from the proved other side.
     *
     * @param whole type and body, as they came
     */
    protected abstract void said(byte type, ByteBuffer body, byte[] whole) throws BadMessage;

    protected abstract void over(Ending how);

    protected abstract String peer();

    protected abstract void counted(String what);

    protected abstract Logger log();
}
