package tinlink.http2;

import java.util.List;

/** Receives the results of the streams of an {@link Http2Connection}, on the connection's thread. */
interface StreamListener {
    /** The stream limit is known: after the server's first settings and after later ones that contain it. */
    void onMaxStreams(long maxStreams);

    /** Whether the rest of a request that waits for the server's window may still be sent. */
    boolean maySend(Http2Stream stream);

    /** A well-formed response is complete; the stream holds its status, fields, body and trailers. */
    void onResponse(Http2Stream stream);

    /**
     * A stream has ended without a response.
     *
     * @param notProcessed whether the server has said that it did not process the request
     * @param malformed whether the response was malformed, so that the client has reset the stream
     */
    void onStreamReset(Http2Stream stream, boolean notProcessed, boolean malformed);

    /** The server did not and will not process the streams above the id; no new stream may be opened. */
    void onGoAway(int lastStreamId, List<Http2Stream> above);

    void onPingAck(long number);
}
