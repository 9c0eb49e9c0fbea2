package tinlink.cluster.consensus;

import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;

/** Keeps a replica to its {@link RecoveryFloor}: which messages it may send and receive. From any thread. */
final class RecoveryFilter {
    private final RaftStateStore stateStore;
    private volatile RecoveryFloor floor = RecoveryFloor.NONE;

    RecoveryFilter(RaftStateStore stateStore) {
        this.stateStore = stateStore;
    }

    void setFloor(RecoveryFloor newFloor) {
        floor = newFloor;
    }

    /** Whether the log is as far as the floor. */
    boolean hasReachedFloor() {
        RecoveryFloor logEnd = stateStore.logEnd();
        return floor.mayCampaign(logEnd.lastTerm(), logEnd.lastIndex());
    }

    /** It asks nobody for a vote before it is as far as others were. */
    boolean maySend(RaftMessage message) {
        return !(message instanceof PreVoteRequest || message instanceof VoteRequest)
                || hasReachedFloor();
    }

    boolean mayReceive(RaftMessage message) {
        RecoveryFloor current = floor;
        if (message instanceof VoteRequest request) {
            return current.mayGrant(
                    request.getTerm(), request.getLastLogTerm(), request.getLastLogIndex());
        }
        if (message instanceof PreVoteRequest request) {
            return current.mayAnswerPreVote(request.getLastLogTerm(), request.getLastLogIndex());
        }
        boolean isFromLeader = message instanceof AppendEntriesRequest
                || message instanceof InstallSnapshotRequest;
        return !isFromLeader || current.mayFollow(message.getTerm());
    }
}
