package tinlink.router;

import tinlink.net.HeapCharge;
import tinlink.net.MessageRejectedException;
import tinlink.net.ObjectSizes;
import tinlink.net.ProtocolLimits;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** The start line and the header fields of the request that a client connection is receiving. */
final class RequestHead {
    /** What a request asks for. */
    enum Kind {
        /** A lookup, by POST with a body. */
        LOOKUP,
        /** The readiness check, by GET. */
        READINESS
    }

    private static final Pattern CLOSE_OPTION = Pattern.compile("(?i)(.*,)?\\s*close\\s*(,.*)?");
    private static final Pattern SINGLE_VALUE_FIELDS =
            Pattern.compile("x-.*|idempotency-key|content-length|host");

    private final HeapCharge heapCharge;
    private final Map<String, String> fields = new HashMap<>();
    private int fieldCount;
    private String method = "";
    private String path = "";
    private String version = "";

    /** @param heapCharge accounts for the strings of the head */
    RequestHead(HeapCharge heapCharge) {
        this.heapCharge = heapCharge;
    }

    /** Begins the head of the next request. */
    void startLine(String requestMethod, String target, String httpVersion)
            throws MessageRejectedException {
        heapCharge.add(ObjectSizes.EMPTY_MAP
                + ObjectSizes.FIRST_ENTRY
                + ObjectSizes.latin1String(requestMethod.length())
                + ObjectSizes.latin1String(target.length()));
        method = requestMethod;
        int queryStart = target.indexOf('?');
        path = queryStart < 0 ? target : target.substring(0, queryStart);
        version = httpVersion;
        fields.clear();
        fieldCount = 0;
    }

    /** @throws MessageRejectedException for too many fields, or a second one that may occur once */
    void add(String name, String value) throws MessageRejectedException {
        // Heads of very many short fields would keep the event loop busy.
        if (++fieldCount > ProtocolLimits.MAX_HEAD_FIELDS) {
            throw new MessageRejectedException(431, "the head has too many fields");
        }
        heapCharge.add(ObjectSizes.ENTRY
                + ObjectSizes.latin1String(name.length())
                + ObjectSizes.latin1String(value.length()));
        // If such a header occurs twice, this router and a proxy in front of it could use different
        // values.
        if (fields.put(name, value) != null && SINGLE_VALUE_FIELDS.matcher(name).matches()) {
            throw new MessageRejectedException(400, name + ": twice");
        }
    }

    /** @throws MessageRejectedException if the router does not serve the path or the method */
    Kind checkedKind() throws MessageRejectedException {
        Kind kind =
                switch (path) {
                    case "/api" -> Kind.LOOKUP;
                    case "/-/ready" -> Kind.READINESS;
                    default -> throw new MessageRejectedException(404, "no such path");
                };
        String expectedMethod = kind == Kind.LOOKUP ? "POST" : "GET";
        if (!method.equals(expectedMethod)) {
            throw new MessageRejectedException(405, "the method is " + expectedMethod);
        }
        return kind;
    }

    /** Whether the client allows further requests on the connection. */
    boolean isKeepAlive() {
        return version.equals("HTTP/1.1")
                && !CLOSE_OPTION.matcher(fields.getOrDefault("connection", "")).matches();
    }

    /** Whether the client waits for an interim response before it sends the body. */
    boolean expectsContinue() {
        return fields.getOrDefault("expect", "").equalsIgnoreCase("100-continue");
    }

    /** The header fields by name in lower case. */
    Map<String, String> fields() {
        return fields;
    }

    /** Frees the strings of the head. */
    void clear() {
        fields.clear();
        method = "";
        path = "";
    }
}
