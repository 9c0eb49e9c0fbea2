package tinlink.maintenance;

import java.util.Map;

/** Takes the answer to an operator's request. The first one counts; what follows it is dropped. */
interface ControlResponder {
    /** The request was carried out, or its outcome is known. */
    int OK = 200;
    /** The request can't be understood. */
    int BAD_REQUEST = 400;
    /** What it asks for is not known here. */
    int NOT_FOUND = 404;
    /** It is not known what came of it. */
    int UNAVAILABLE = 503;

    /**
     * Answers.
     *
     * @param status of HTTP
     * @param answer written as JSON
     */
    void respond(int status, Map<String, ?> answer);

    /**
     * Answers with what a proposal came to.
     *
     * @param message of its outcome
     * @param failure why that is not known; null where it is
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
