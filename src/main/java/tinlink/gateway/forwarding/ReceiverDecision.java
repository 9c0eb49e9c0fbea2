package tinlink.gateway.forwarding;

/** What the receiver has decided and its owner has not carried out yet. */
sealed interface ReceiverDecision {
    void carryOut(ExecutionHandler handler);

    /** Starts the part, unless it was cancelled since. */
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
     * Reports on whichever session the channel has for that by now, if any.
     *
     * @param part null where it is not remembered
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

    /** Answers a query about a channel that is not known here. */
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
