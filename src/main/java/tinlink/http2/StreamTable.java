package tinlink.http2;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The streams of one client's connection by id (RFC 9113, section 5.1). An open stream leaves with its answer
 * or its reset; of those that this side has reset the newest ids are remembered, since frames on them may
 * still be under way.
 */
final class StreamTable {
    private final TreeMap<Integer, Stream> open = new TreeMap<>();
    private final Set<Integer> resetIds = new LinkedHashSet<>();
    private final int maxResetIds;
    private int nextId = 1;
    /** The last stream that the other side processes, by its newest GOAWAY. */
    private int lastId = H2.MOST_ID;

    /** @param maxResetIds so many ids are remembered after this side has reset them */
    StreamTable(int maxResetIds) {
        this.maxResetIds = maxResetIds;
    }

    /** No id is left for a new stream, or the other side takes none. */
    boolean isExhausted() {
        return nextId < 0 || lastId < H2.MOST_ID;
    }

    Stream open(Object call, byte[] body) {
        Stream stream = new Stream(call, nextId, body);
        nextId += 2;
        open.put(stream.id, stream);
        return stream;
    }

    /** Null where it is not open. */
    Stream get(int id) {
        return open.get(id);
    }

    /** An open stream; null for one that this side has reset. No other may be spoken of. */
    Stream getKnown(int id) throws Broken {
        Stream stream = open.get(id);
        if (stream != null || resetIds.contains(id)) {
            return stream;
        }
        checkOpened(id);
        throw new Broken(H2.Code.STREAM_CLOSED, "stream " + id + " is over");
    }

    /** Fails where the id can't be of a stream that this side has opened at any time. */
    void checkOpened(int id) throws Broken {
        if (id % 2 == 0 || nextId > 0 && id >= nextId) {
            throw new Broken(H2.Code.PROTOCOL_ERROR, "stream " + id + " was never opened");
        }
    }

    /** Oldest first. */
    Collection<Stream> openStreams() {
        return Collections.unmodifiableCollection(open.values());
    }

    /** @return whether it was open */
    boolean remove(Stream stream) {
        return open.remove(stream.id, stream);
    }

    /** Frames on it say nothing more, and are no fault. */
    void rememberReset(int id) {
        resetIds.add(id);
        if (resetIds.size() > maxResetIds) {
            resetIds.remove(resetIds.iterator().next());
        }
    }

    /** Danger: a GOAWAY whose last id rises again would let what was said never to have run, run. */
    void checkGoAway(int last) throws Broken {
        if (last > lastId) {
            throw new Broken(H2.Code.PROTOCOL_ERROR, "a goodbye that takes back the one before");
        }
    }

    /** Closes the streams over the last one that the other side processes. */
    List<Stream> closeAbove(int last) {
        lastId = last;
        List<Stream> above = List.copyOf(open.tailMap(last, false).values());
        open.tailMap(last, false).clear();
        return above;
    }
}
