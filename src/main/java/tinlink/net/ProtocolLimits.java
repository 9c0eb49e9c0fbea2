package tinlink.net;

/** The limits that the protocol specification sets for all messages. */
public final class ProtocolLimits {
    /** The maximum size of a body, and thus of a query's text or of a value. */
    public static final int MAX_BODY_BYTES = 64 << 10;
    /**
     * The maximum size of the lines before a body or a value, and of all the lines that divide the body of a
     * request into chunks: a chunk of one byte costs far more than its bytes.
     */
    public static final int MAX_HEAD_BYTES = 16 << 10;
    /** The maximum number of header fields of a request; each costs far more than its bytes. */
    public static final int MAX_HEAD_FIELDS = 128;
    /**
     * The maximum number of unread bytes that a connection buffers. A connection with a full buffer
     * is not read, so its end is not noticed either.
     */
    public static final int MAX_UNREAD_BYTES = MAX_BODY_BYTES;
    /**
     * The minimum idle time, without an open request, after which a client's connection may be
     * closed.
     */
    public static final long MIN_CLIENT_IDLE_US = 2_000_000;
    /**
     * The time within which a connected client must get an error or a close, unless a complete
     * request of the client is being handled.
     */
    public static final long MAX_CLIENT_WAIT_US = 3_000_000;
    /**
     * The upper bound on the longest deadline that counts for a stop: a process that was told to
     * stop is not killed before the longest deadline, up to this bound, plus {@link
     * #KILL_MARGIN_US}.
     */
    public static final long MAX_KILL_GRACE_US = 3_000_000;

    public static final long KILL_MARGIN_US = 700_000;
    /** The interval at which discovery writes an empty line to a watch while nothing changes. */
    public static final long WATCH_KEEPALIVE_US = 2_000_000;

    private ProtocolLimits() {}
}
