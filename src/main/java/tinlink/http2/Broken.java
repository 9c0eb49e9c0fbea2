package tinlink.http2;

/** The other side has broken the protocol: the connection ends with that code. */
final class Broken extends Exception {
    private static final long serialVersionUID = 1L;
    final H2.Code code;

    Broken(H2.Code code, String what) {
        super(what, null, false, false);
        this.code = code;
    }
}
