package tinlink.cluster;

import tinlink.cluster.consensus.LearnerLog;
import tinlink.cluster.consensus.LogPosition;
import tinlink.cluster.consensus.RecoveryFloor;
import tinlink.cluster.consensus.Voter;
import tinlink.cluster.membership.Incarnation;
import tinlink.cluster.transport.MessageKind;

/** A message between routers of a cluster, other than of membership and Raft; it may get lost. */
sealed interface NodeMessage {
    MessageKind kind();

    /** Requests the committed lines after an index from a voter. */
    record Learn(long afterIndex) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEARN;
        }
    }

    /**
     * Answers {@link Learn}.
     *
     * @param leader the leader's name as far as the sender knows; empty if it knows none
     * @param afterIndex the index of the request
     * @param batch the lines after it, or a snapshot; null if there is nothing new
     */
    record Learned(String leader, long afterIndex, LearnerLog.Batch batch) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.LEARNED;
        }
    }

    /** Asks the leader to propose a line. */
    record Propose(long proposalId, String line) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PROPOSE;
        }
    }

    /**
     * Answers {@link Propose}.
     *
     * @param isCommitted whether the line was committed
     * @param text the state machine's reply if the line was committed; otherwise why that is not known
     */
    record Proposed(long proposalId, boolean isCommitted, String text) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PROPOSED;
        }
    }

    /** Asks what the recipient knows of the sender's disk, before the sender votes with that disk. */
    record AdmissionRequest(Voter voter) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.ADMISSION_REQUEST;
        }
    }

    /**
     * Answers {@link AdmissionRequest}.
     *
     * @param knownIncarnation the newest known incarnation of the requesting router, or a duplicate of the
     *     requester; null if none is known
     * @param knownPosition the furthest known log position of the requester's disk; null if unknown
     * @param logEnd the end of the responder's own log
     */
    record AdmissionResponse(
            Incarnation knownIncarnation, LogPosition knownPosition, RecoveryFloor logEnd)
            implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.ADMISSION_RESPONSE;
        }
    }

    /** Reports an observation to the leader. */
    record Report(String line) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.REPORT;
        }
    }

    /**
     * Announces the disk that the sender runs with.
     *
     * @param diskId the disk's id in hex
     */
    record Presence(String diskId) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.PRESENCE;
        }
    }

    /** Asks the leader to give one router's voter slot to another, on an operator's command. */
    record ReplaceVoter(String removedRouter, String addedRouter) implements NodeMessage {
        @Override
        public MessageKind kind() {
            return MessageKind.REPLACE_VOTER;
        }
    }

    /** Requests the commit index, confirmed by a majority, from the leader. */
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
