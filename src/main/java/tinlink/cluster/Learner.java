package tinlink.cluster;

import tinlink.cluster.NodeMessage.Learn;
import tinlink.cluster.NodeMessage.Learned;
import tinlink.cluster.consensus.LearnerLog;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Applies the committed lines of the Raft log on the event loop's thread: a voter gets them from its replica,
 * a learner requests them from a voter drawn at random for each request. Also answers the requests of
 * learners.
 */
final class Learner {
    private final LearnerLog log;
    private final KnownLeader leader;
    private final VoterLifecycle voter;
    private final NodeMessageSender sender;
    private final SplittableRandom random;
    private final List<String> otherVoters;
    private Runnable appliedListener = () -> {};

    Learner(
            ClusterSettings settings,
            LearnerLog log,
            KnownLeader leader,
            VoterLifecycle voter,
            NodeMessageSender sender,
            SplittableRandom random) {
        this.log = log;
        this.leader = leader;
        this.voter = voter;
        this.sender = sender;
        this.random = random;
        Set<String> others = new TreeSet<>(settings.routers().initialVoters());
        others.remove(settings.local().router());
        otherVoters = new ArrayList<>(others);
    }

    /** Sets the listener that runs after committed lines or a snapshot were applied. */
    void setAppliedListener(Runnable listener) {
        appliedListener = listener;
    }

    /** Returns the log index up to which this router has applied everything. */
    long index() {
        return log.index();
    }

    /** Requests the lines after {@link #index} from a random other voter. */
    void requestBatch() {
        if (!otherVoters.isEmpty()) {
            sender.send(
                    otherVoters.get(random.nextInt(otherVoters.size())), new Learn(log.index()));
        }
    }

    void onLearn(String router, Learn request) {
        long afterIndex = request.afterIndex();
        sender.send(router, new Learned(leader.router(), afterIndex, log.batchAfter(afterIndex)));
    }

    /** Takes the leader's name from the message, and the batch unless the replica runs and is ahead of it. */
    void onLearned(Learned message) {
        if (!message.leader().isEmpty()) {
            leader.set(message.leader());
        }
        if (message.batch() != null
                && !voter.isVoting()
                && log.appendBatch(message.afterIndex(), message.batch())) {
            appliedListener.run();
        }
    }

    /** Applies a line that the replica has applied; an empty line marks a leader's term, not a change. */
    void onApplied(long index, String line) {
        if (log.append(index, line) && !line.isEmpty()) {
            appliedListener.run();
        }
    }

    /** Restores a snapshot that the replica has installed. */
    void onRestored(long index, List<String> lines) {
        if (log.restore(index, lines)) {
            appliedListener.run();
        }
    }
}
