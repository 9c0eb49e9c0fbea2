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
 * Catches up with what was agreed on: by the replica where this router votes, else by asking a voter, drawn
 * anew each time; and teaches others that ask. Event loop's thread only.
 */
final class Learner {
    private final LearnerLog log;
    private final KnownLeader leader;
    private final VoterLifecycle voter;
    private final NodeMessageSender sender;
    private final SplittableRandom random;
    private final List<String> teachers;
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
        teachers = new ArrayList<>(others);
    }

    /** Runs after something agreed on has been applied. */
    void setAppliedListener(Runnable listener) {
        appliedListener = listener;
    }

    /** The index up to which all is known here. */
    long index() {
        return log.index();
    }

    /** Asks some other voter for what is missing here. */
    void requestBatch() {
        if (!teachers.isEmpty()) {
            sender.send(teachers.get(random.nextInt(teachers.size())), new Learn(log.index()));
        }
    }

    void onLearn(String router, Learn request) {
        long afterIndex = request.afterIndex();
        sender.send(router, new Learned(leader.router(), afterIndex, log.batchAfter(afterIndex)));
    }

    /** Passed over but for the leader's name where the replica runs: that is ahead of it. */
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

    /** The replica has applied a line; an empty one marks a leader's term and changes nothing. */
    void onApplied(long index, String line) {
        if (log.append(index, line) && !line.isEmpty()) {
            appliedListener.run();
        }
    }

    /** The replica has installed a snapshot. */
    void onRestored(long index, List<String> lines) {
        if (log.restore(index, lines)) {
            appliedListener.run();
        }
    }
}
