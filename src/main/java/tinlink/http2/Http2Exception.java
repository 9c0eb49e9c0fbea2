package tinlink.http2;

/** A violation of the protocol by the server; the connection ends with the error code. */
final class Http2Exception extends Exception {
    private static final long serialVersionUID = 1L;
    final Http2Constants.ErrorCode code;

    Http2Exception(Http2Constants.ErrorCode code, String description) {
        super(description, null, false, false);
        this.code = code;
    }

    static Http2Exception protocolError(String description) {
        return new Http2Exception(Http2Constants.ErrorCode.PROTOCOL_ERROR, description);
    }
}
