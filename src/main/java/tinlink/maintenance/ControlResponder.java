package tinlink.maintenance;

import java.util.Map;

/** Receives the answer to an operator's request. Only the first answer is sent; later ones are dropped. */
interface ControlResponder {
    /** The request was executed, or its outcome is known. */
    int OK = 200;
    /** The request is invalid. */
    int BAD_REQUEST = 400;
    /** This router doesn't know the object that the request names. */
    int NOT_FOUND = 404;
    /** The outcome of the request is unknown. */
    int UNAVAILABLE = 503;

    /**
     * Answers the request.
     *
     * @param status the HTTP status code
     * @param answer the body, which is written as JSON
     */
    void respond(int status, Map<String, ?> answer);

    /**
     * Answers with the outcome of a proposal.
     *
     * @param message the outcome; unused if it is unknown
     * @param failure the reason why the outcome is unknown; null if the outcome is known
     */
    default void respondProposal(String message, String failure) {
        if (failure == null) {
            respond(OK, Map.of("said", message));
        } else {
            respond(
                    UNAVAILABLE,
                    Map.of(
                            "said",
                            "it is not known to be agreed (" + failure
                                    + "): ask again, here or elsewhere"));
        }
    }
}
