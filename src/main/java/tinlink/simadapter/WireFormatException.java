package tinlink.simadapter;

import tinlink.config.InvalidInputException;

/**
 * Reports an invalid line of the simulator's protocol. The message is {@code EVENT: field 'FIELD' PROBLEM},
 * where the event and the field may be left out.
 */
final class WireFormatException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    /** @param event first word of the line; empty where the line itself or its place is the problem */
    WireFormatException(String event, String problem) {
        super((event.isEmpty() ? "" : event + ": ") + problem);
    }

    WireFormatException(String event, String field, String problem) {
        this(event, "field '" + field + "' " + problem);
    }
}
