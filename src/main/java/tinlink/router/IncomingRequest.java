package tinlink.router;

import tinlink.net.HeapCharge;
import tinlink.net.HttpReader;
import tinlink.net.JsonReader;
import tinlink.net.MessageRejectedException;
import tinlink.net.RingBuffer;

import java.nio.ByteBuffer;
import java.util.Map;

/** Reads the requests of one client connection, one after the other; keeps the head and the body of one. */
final class IncomingRequest implements HttpReader.MessageListener {
    private final HeapCharge heapCharge;
    private final Runnable continueExpected;
    private final HttpReader reader = HttpReader.forRequests(this);
    private final RequestHead head;
    /** Null unless the request is a lookup whose head has been read. */
    private RequestBody body;

    private boolean keepAlive;
    private boolean complete;

    /**
     * @param heapCharge accounts for the head and the body
     * @param continueExpected called when the client waits for an interim response before it sends the body
     */
    IncomingRequest(HeapCharge heapCharge, Runnable continueExpected) {
        this.heapCharge = heapCharge;
        this.continueExpected = continueExpected;
        head = new RequestHead(heapCharge);
    }

    /**
     * Reads until a request is complete or the buffer is empty.
     *
     * @return whether a request is complete
     */
    boolean read(RingBuffer input) throws MessageRejectedException {
        complete = false;
        reader.read(input);
        return complete;
    }

    /** Whether no byte of the next request has been read. */
    boolean isAtBoundary() {
        return reader.isAtBoundary();
    }

    /** The heap that the buffer of the current line takes, in bytes. */
    long bufferedBytes() {
        return reader.bufferedBytes();
    }

    boolean isLookup() {
        return body != null;
    }

    /** Whether the client allows further requests on the connection. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    Map<String, String> headerFields() {
        return head.fields();
    }

    /** The number of bytes of the body that are not parsed yet. */
    int unparsedBytes() {
        return body == null ? 0 : body.unparsedBytes();
    }

    /** Parses up to that many bytes of a lookup's body. */
    void parse(int maxBytes) throws MessageRejectedException {
        body.parse(maxBytes);
    }

    /** The body of a lookup, once all of it is parsed. */
    JsonReader json() {
        return body.json();
    }

    /** Frees the head and the body. */
    void clear() {
        head.clear();
        body = null;
    }

    @Override
    public void startLine(String method, String target, String version)
            throws MessageRejectedException {
        head.startLine(method, target, version);
        body = null;
    }

    @Override
    public void header(String name, String value) throws MessageRejectedException {
        head.add(name, value);
    }

    @Override
    public void headersEnded() throws MessageRejectedException {
        keepAlive = head.isKeepAlive();
        if (head.checkedKind() == RequestHead.Kind.LOOKUP) {
            body = new RequestBody(heapCharge);
            if (head.expectsContinue()) {
                continueExpected.run();
            }
        }
    }

    @Override
    public void body(ByteBuffer piece) throws MessageRejectedException {
        if (body != null) {
            body.append(piece);
        }
    }

    @Override
    public void messageEnded() {
        complete = true;
    }
}
