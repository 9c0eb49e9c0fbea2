package tinlink.cluster.consensus;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;

/**
 * Makes a replica observe its {@link RecoveryFloor} by filtering the messages that it sends and receives.
 * Safe for use by several threads.
 */
final class RecoveryFilter {
    private final RaftStateStore stateStore;
    private volatile RecoveryFloor floor = RecoveryFloor.NONE;

    RecoveryFilter(RaftStateStore stateStore) {
        this.stateStore = stateStore;
    }

    void setFloor(RecoveryFloor newFloor) {
        floor = newFloor;
    }

    /** Whether the log has reached the floor. */
    boolean hasReachedFloor() {
        RecoveryFloor logEnd = stateStore.logEnd();
        return floor.mayCampaign(logEnd.lastTerm(), logEnd.lastIndex());
    }

    /** Whether the message may be sent; votes and pre-votes may be requested once the log is at the floor. */
    boolean maySend(RaftMessage message) {
        return !(message instanceof PreVoteRequest || message instanceof VoteRequest)
                || hasReachedFloor();
    }

    /** Whether the message may be handled: vote and pre-vote requests, and a leader's log, obey the floor. */
    boolean mayReceive(RaftMessage message) {
        RecoveryFloor currentFloor = floor;
        if (message instanceof VoteRequest request) {
            return currentFloor.mayGrant(
                    request.getTerm(), request.getLastLogTerm(), request.getLastLogIndex());
        }
        if (message instanceof PreVoteRequest request) {
            return currentFloor.mayAnswerPreVote(
                    request.getLastLogTerm(), request.getLastLogIndex());
        }
        boolean sentByLeader = message instanceof AppendEntriesRequest
                || message instanceof InstallSnapshotRequest;
        return !sentByLeader || currentFloor.mayFollow(message.getTerm());
    }
}
