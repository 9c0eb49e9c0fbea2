package tinlink.benchlink;

/** Input that is not what the wire allows; the message says what was wrong. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(String what) {
        super(what, null, false, false);
    }
}
