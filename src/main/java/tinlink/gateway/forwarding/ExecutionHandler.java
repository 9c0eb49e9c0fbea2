package tinlink.gateway.forwarding;

/**
 * Carries out the decisions of a {@link ForwardedPartReceiver}. Sessions are the objects that were given to
 * {@link ForwardedPartReceiver#onConnected}. Called from within {@link ForwardedPartReceiver#decide}.
 */
public interface ExecutionHandler {
    /** Starts the part; its end comes back by {@link ForwardedPartReceiver#onPartEnded}. */
    void startPart(ReceivedPart part);

    /** Stops a part that runs: its router has no more use for it. */
    void cancelPart(ReceivedPart part);

    /**
     * Reports the status of a part.
     *
     * @param channelIndex the channel that it came on, which may be another than the session's
     * @param part null where it is not remembered; the value of one that is completed is with it
     */
    void sendPartStatus(
            Object session, int channelIndex, long number, PartStatus status, ReceivedPart part);

    /**
     * Tells a forwarding router how much is taken.
     *
     * @param parts that the session's channel may have in flight to here at a time
     */
    void sendCreditWindow(Object session, int parts);

    /** Ends the connection; {@link ForwardedPartReceiver#onDisconnected} follows. */
    void closeSession(Object session);

    /** Pulls decisions again at that time, in microseconds. */
    void wakeAt(long at);
}
