package tinlink.http2;

import java.util.List;

/** Hears what comes of the streams of an {@link Http2Connection}, on the connection's thread. */
interface StreamListener {
    /** How many streams may be open; at first and whenever the other side says so. */
    void onMaxStreams(long maxStreams);

    /** It has ended in order: status, fields, body and trailers stand in the stream. */
    void onResponse(Http2Stream stream);

    /**
     * A stream has ended without a response.
     *
     * @param notProcessed the other side has said that it did not process any of it
     * @param malformed what came of it was malformed, and we have reset it
     */
    void onStreamReset(Http2Stream stream, boolean notProcessed, boolean malformed);

    /** Streams above that id have not been and will not be processed; no new ones may be opened. */
    void onGoAway(int lastStreamId, List<Http2Stream> above);

    void onPingAck(long number);
}
