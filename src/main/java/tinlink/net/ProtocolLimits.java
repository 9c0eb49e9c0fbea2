package tinlink.net;

/** The figures that PROTOCOL fixes for every message. */
public final class ProtocolLimits {
    /** A body, and so a query's text or a value, holds at most this. */
    public static final int MAX_BODY_BYTES = 64 << 10;
    /** The lines before a body or a value. */
    public static final int MAX_HEAD_BYTES = 16 << 10;
    /**
     * Unread bytes that a connection holds at most; with so many there it is not read, nor is its end
     * seen.
     */
    public static final int MAX_UNREAD_BYTES = MAX_BODY_BYTES;
    /** A client's connection with no open request may be closed after this. */
    public static final long MIN_CLIENT_IDLE_US = 2_000_000;
    /**
     * Whoever connects is owed an error or a close within this, unless a whole request of its is in
     * hand.
     */
    public static final long MAX_CLIENT_WAIT_US = 3_000_000;
    /**
     * A process that was told to stop is killed no sooner than the longest deadline, up to this,
     * and so much more.
     */
    public static final long MAX_KILL_GRACE_US = 3_000_000;

    public static final long KILL_MARGIN_US = 700_000;
    /** While nothing changes, discovery writes an empty line this often. */
    public static final long WATCH_KEEPALIVE_US = 2_000_000;

    private ProtocolLimits() {}
}
