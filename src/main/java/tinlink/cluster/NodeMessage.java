package tinlink.cluster;

import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.LogPosition;
import tinlink.cluster.consensus.RecoveryFloor;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.transport.MessageKind;

/** What routers of a cluster say to each other besides membership and Raft; any of it may get lost. */
sealed interface NodeMessage {
    MessageKind kind();

    /** Asks a voter for what was agreed on after that index. */
    record Learn(long afterIndex) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEARN;
        }
    }

    /**
     * Answers {@link Learn}.
     *
     * @param leader who leads, as far as the sender knows; empty where it knows of none
     * @param afterIndex the index that was asked for
     * @param batch null where there is nothing new
     */
    record Learned(String leader, long afterIndex, LearnerLog.Batch batch) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEARNED;
        }
    }

    /** Has the leader propose a line. */
    record Propose(long proposalId, String line) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PROPOSE;
        }
    }

    /**
     * Answers {@link Propose}.
     *
     * @param text the state machine's reply where the line was agreed on; else why that is not known
     */
    record Proposed(long proposalId, boolean isAgreed, String text) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PROPOSED;
        }
    }

    /** Asks what is known of the sender's disk, before it votes by it. */
    record AdmissionRequest(Voter voter) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.ADMISSION_REQUEST;
        }
    }

    /**
     * Answers {@link AdmissionRequest}.
     *
     * @param known the newest incarnation of the asking router that is known besides its own; null for none
     * @param position the furthest that the asking disk is known to have been; null where it is not known
     * @param logEnd where the sender's own log ends
     */
    record AdmissionResponse(Incarnation known, LogPosition position, RecoveryFloor logEnd)
            implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.ADMISSION_RESPONSE;
        }
    }

    /** An observation for the leader. */
    record Report(String line) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.REPORT;
        }
    }

    /** The sender runs with this disk; in hex. */
    record Presence(String diskId) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PRESENCE;
        }
    }

    /** An operator gives one router's voter slot to another. */
    record ReplaceVoter(String removedRouter, String addedRouter) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.REPLACE_VOTER;
        }
    }

    /** Asks the leader for the commit index, confirmed by a majority. */
    record ConfirmRequest(long requestId) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CONFIRM_REQUEST;
        }
    }

    /** Answers {@link ConfirmRequest}. */
    record ConfirmResponse(long requestId, long commitIndex) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.CONFIRM_RESPONSE;
        }
    }
}
