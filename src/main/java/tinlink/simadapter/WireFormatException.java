package tinlink.simadapter;

import tinlink.config.InvalidInputException;

/**
 * A line of the simulator's wire that is not what it may be. The message is {@code EVENT: field 'FIELD'
 * PROBLEM}, without what there is none of.
 */
final class WireFormatException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    /** @param event the first word of the line; empty where it is the order of lines that is wrong */
    WireFormatException(String event, String problem) {
        super((event.isEmpty() ? "" : event + ": ") + problem);
    }

    WireFormatException(String event, String field, String problem) {
        this(event, "field '" + field + "' " + problem);
    }
}
