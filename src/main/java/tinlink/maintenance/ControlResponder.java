package tinlink.maintenance;

import java.util.Map;

/** Takes the answer to an operator's request. The first one counts; what follows it is dropped. */
interface ControlResponder {
    int OK = 200;
    int BAD_REQUEST = 400;
    int NOT_FOUND = 404;
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
