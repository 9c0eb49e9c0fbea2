package tinlink.gateway;

import tinlink.gateway.choice.Forwarded;

/** A part that this router passes on to another site. Fields only. */
public final class NearPart extends Forwarded {
    final String id;
    final String index;
    final int shard;
    /** Null where its index needs none. */
    final String key;

    final byte[] text;
    final boolean repeat;
    /** Until when it may have its effect at all; Long.MAX_VALUE where that does not matter. */
    final long effectUntil;
    /** Whatever the part is to whoever passed it on. */
    public final Object what;

    final long sentAt;
    /** Where its message ends in what its line has written. */
    long place;
    /** What came with its end: the value, the time that it took over there, when to come back. */
    public byte[] value;

    public long tookUs;
    public long comeBackUs;

    /**
     * @param cell where the near router's module wants it
     * @param repeatable a second run does no
     *     harm
     * @param effectUntil the end of its key's window; Long.MAX_VALUE where it has none
     */
    public NearPart(
            Object what,
            long now,
            long until,
            int cell,
            boolean repeatable,
            String id,
            String index,
            int shard,
            String key,
            byte[] text,
            boolean repeat,
            long effectUntil) {
        super(until, cell, repeatable);
        this.what = what;
        sentAt = now;
        this.id = id;
        this.index = index;
        this.shard = shard;
        this.key = key;
        this.text = text;
        this.repeat = repeat;
        this.effectUntil = effectUntil;
    }
}
