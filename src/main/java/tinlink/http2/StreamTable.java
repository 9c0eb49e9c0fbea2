package tinlink.http2;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The streams of one client's connection by id (RFC 9113, section 5.1). An open stream leaves with its
 * response or its reset; of those that this side has reset the newest ids are remembered, since frames on
 * them may still be under way.
 */
final class StreamTable {
    private final TreeMap<Integer, Http2Stream> openById = new TreeMap<>();
    private final Set<Integer> resetIds = new LinkedHashSet<>();
    private final int maxResetIds;
    private int nextStreamId = 1;
    /** The last stream that the other side processes, by its newest GOAWAY. */
    private int lastProcessedId = Http2Constants.MAX_STREAM_ID;

    /** @param maxResetIds so many ids are remembered after this side has reset them */
    StreamTable(int maxResetIds) {
        this.maxResetIds = maxResetIds;
    }

    /** No id is left for a new stream, or the other side takes none. */
    boolean isExhausted() {
        return nextStreamId < 0 || lastProcessedId < Http2Constants.MAX_STREAM_ID;
    }

    Http2Stream open(Object call, byte[] body) {
        Http2Stream stream = new Http2Stream(call, nextStreamId, body);
        nextStreamId += 2;
        openById.put(stream.id, stream);
        return stream;
    }

    /** Null where it is not open. */
    Http2Stream get(int id) {
        return openById.get(id);
    }

    /** An open stream; null for one that this side has reset. No other may be spoken of. */
    Http2Stream getKnown(int id) throws Http2Exception {
        Http2Stream stream = openById.get(id);
        if (stream != null || resetIds.contains(id)) {
            return stream;
        }
        checkOpened(id);
        throw new Http2Exception(
                Http2Constants.ErrorCode.STREAM_CLOSED, "stream " + id + " is closed");
    }

    /** Fails where the id can't be of a stream that this side has opened at any time. */
    void checkOpened(int id) throws Http2Exception {
        if (id % 2 == 0 || (nextStreamId > 0 && id >= nextStreamId)) {
            throw Http2Exception.protocolError("stream " + id + " was never opened");
        }
    }

    /** Oldest first. */
    Collection<Http2Stream> openStreams() {
        return Collections.unmodifiableCollection(openById.values());
    }

    /**
     * Closes the stream.
     *
     * @return whether it was open
     */
    boolean remove(Http2Stream stream) {
        return openById.remove(stream.id, stream);
    }

    /** Frames on it say nothing more, and are no fault. */
    void rememberReset(int id) {
        resetIds.add(id);
        if (resetIds.size() > maxResetIds) {
            resetIds.remove(resetIds.iterator().next());
        }
    }

    /** Danger: a GOAWAY whose last id rises again would let what was said never to have run, run. */
    void checkGoAway(int goAwayId) throws Http2Exception {
        if (goAwayId > lastProcessedId) {
            throw Http2Exception.protocolError("a GOAWAY that takes back the one before");
        }
    }

    /** Closes the streams over the last one that the other side processes. */
    List<Http2Stream> closeAbove(int goAwayId) {
        lastProcessedId = goAwayId;
        List<Http2Stream> above = List.copyOf(openById.tailMap(goAwayId, false).values());
        openById.tailMap(goAwayId, false).clear();
        return above;
    }
}
