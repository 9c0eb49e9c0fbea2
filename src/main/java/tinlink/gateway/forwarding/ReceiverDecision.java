package tinlink.gateway.forwarding;

/** A decision of {@link ForwardedPartReceiver} that is still to be carried out. */
sealed interface ReceiverDecision {
    void carryOut(ExecutionHandler handler);

    /** Starts the part, unless the part has been cancelled in the meantime. */
    record Start(ReceivedPart part) implements ReceiverDecision {
        @Override
        public void carryOut(ExecutionHandler handler) {
            if (part.status == PartStatus.RUNNING) {
                handler.startPart(part);
            }
        }
    }

    record Cancel(ReceivedPart part) implements ReceiverDecision {
        @Override
        public void carryOut(ExecutionHandler handler) {
            handler.cancelPart(part);
        }
    }

    /**
     * Reports the status of a part on the session that receives the channel's reports when the decision is
     * carried out, if there is one.
     *
     * @param part null if the part is no longer remembered
     */
    record Report(InboundChannel channel, long number, PartStatus status, ReceivedPart part)
            implements ReceiverDecision {
        @Override
        public void carryOut(ExecutionHandler handler) {
            if (channel.statusSession() != null) {
                handler.sendPartStatus(
                        channel.statusSession(), channel.index(), number, status, part);
            }
        }
    }

    /** Answers a status query about a channel that this router does not know. */
    record ReportUnknownChannel(Object session, int channelIndex, long number)
            implements ReceiverDecision {
        @Override
        public void carryOut(ExecutionHandler handler) {
            handler.sendPartStatus(session, channelIndex, number, PartStatus.MAY_HAVE_RUN, null);
        }
    }

    record Close(Object session) implements ReceiverDecision {
        @Override
        public void carryOut(ExecutionHandler handler) {
            handler.closeSession(session);
        }
    }
}
