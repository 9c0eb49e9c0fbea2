package tinlink.http2;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The streams of a client's connection by id (RFC 9113, section 5.1). An open stream is removed by its
 * response or its reset. The newest ids of reset streams are remembered, because frames on these streams may
 * still be in flight.
 */
final class StreamTable {
    private final TreeMap<Integer, Http2Stream> openById = new TreeMap<>();
    /** The newest ids of reset streams, oldest first; at most {@link #maxResetIds}. */
    private final Set<Integer> resetIds = new LinkedHashSet<>();

    private final int maxResetIds;
    /** The id of the next stream; negative once all ids are used. */
    private int nextStreamId = 1;
    /** The last stream id of the newest GOAWAY; {@link Http2Constants#MAX_STREAM_ID} if there was none. */
    private int lastProcessedId = Http2Constants.MAX_STREAM_ID;

    /** @param maxResetIds the maximum number of remembered ids of reset streams */
    StreamTable(int maxResetIds) {
        this.maxResetIds = maxResetIds;
    }

    /** Whether no new stream can be opened: all ids are used, or the server sent GOAWAY. */
    boolean isExhausted() {
        return nextStreamId < 0 || lastProcessedId < Http2Constants.MAX_STREAM_ID;
    }

    Http2Stream open(Object call, byte[] body) {
        Http2Stream stream = new Http2Stream(call, nextStreamId, body);
        nextStreamId += 2;
        openById.put(stream.id, stream);
        return stream;
    }

    /** The open stream with the id; null if there is none. */
    Http2Stream get(int id) {
        return openById.get(id);
    }

    /** The open stream with the id, or null if its reset is remembered; throws for any other id. */
    Http2Stream getKnown(int id) throws Http2Exception {
        Http2Stream stream = openById.get(id);
        if (stream != null || resetIds.contains(id)) {
            return stream;
        }
        checkOpened(id);
        throw new Http2Exception(
                Http2Constants.ErrorCode.STREAM_CLOSED, "stream " + id + " is closed");
    }

    /** Throws if the client never opened a stream with the id. */
    void checkOpened(int id) throws Http2Exception {
        if (id % 2 == 0 || (nextStreamId > 0 && id >= nextStreamId)) {
            throw Http2Exception.protocolError("stream " + id + " was never opened");
        }
    }

    /** The open streams, oldest first. */
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

    /** Remembers a reset stream, so that later frames on it are ignored and are not an error. */
    void rememberReset(int id) {
        resetIds.add(id);
        if (resetIds.size() > maxResetIds) {
            resetIds.remove(resetIds.iterator().next());
        }
    }

    /**
     * Throws if the last stream id of a GOAWAY rises again: attempts that the node promised not to run could
     * then run.
     */
    void checkGoAway(int goAwayId) throws Http2Exception {
        if (goAwayId > lastProcessedId) {
            throw Http2Exception.protocolError(
                    "GOAWAY raises the last stream id from " + lastProcessedId + " to " + goAwayId);
        }
    }

    /** Records the last stream id of a GOAWAY; closes and returns the streams above it. */
    List<Http2Stream> closeAbove(int goAwayId) {
        lastProcessedId = goAwayId;
        List<Http2Stream> above = List.copyOf(openById.tailMap(goAwayId, false).values());
        openById.tailMap(goAwayId, false).clear();
        return above;
    }
}
