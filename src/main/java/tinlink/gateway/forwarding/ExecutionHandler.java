package tinlink.gateway.forwarding;

/**
 * Carries out the decisions of a {@link ForwardedPartReceiver}, which calls the handler from within
 * {@link ForwardedPartReceiver#decide}. Sessions are the objects that were passed to
 * {@link ForwardedPartReceiver#onConnected}.
 */
public interface ExecutionHandler {
    /** Starts the part; {@link ForwardedPartReceiver#onPartEnded} follows when the part has ended. */
    void startPart(ReceivedPart part);

    /** Cancels a running part whose result the forwarding router no longer needs. */
    void cancelPart(ReceivedPart part);

    /**
     * Reports the status of a part.
     *
     * @param channelIndex the channel on which the part arrived, which may differ from the session's channel
     * @param part the part, with its value if it is completed; null if the part is no longer remembered
     */
    void sendPartStatus(
            Object session, int channelIndex, long number, PartStatus status, ReceivedPart part);

    /**
     * Sends a credit window to a forwarding router.
     *
     * @param parts how many parts the session's channel may have in flight to this router at a time
     */
    void sendCreditWindow(Object session, int parts);

    /** Closes the connection; {@link ForwardedPartReceiver#onDisconnected} follows. */
    void closeSession(Object session);

    /** Schedules a call of {@link ForwardedPartReceiver#decide} at the given time, in microseconds. */
    void wakeAt(long at);
}
