package tinlink.policy.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tests when a policy change may be committed, and which policy a participant applies meanwhile.
 * Times are in microseconds.
 */
class PolicyChangesTest {
    private static final AbsencePolicy WAIT =
            new AbsencePolicy(AbsencePolicy.Rule.WAIT, 3000, 600, 0, 20);
    private static final AbsencePolicy FENCE =
            new AbsencePolicy(AbsencePolicy.Rule.FENCE, 3000, 600, 1500, 20);
    private PolicyChanges changes = new PolicyChanges(3, 10, WAIT);

    /** Encodes, decodes and applies the command; then restores the state from its own snapshot. */
    private String apply(PolicyCommand command) {
        PolicyCommand decoded = PolicyCommandCodec.decode(PolicyCommandCodec.encode(command));
        assertEquals(command, decoded, "encoded and decoded");
        String message = changes.apply(decoded).message();
        List<List<String>> lines = changes.snapshot();
        changes = PolicyChanges.fromSnapshot(3, 10, WAIT, lines);
        assertEquals(lines, changes.snapshot(), "snapshot of the restored state");
        return message;
    }

    private String propose(String changeId, long baseEpoch, AbsencePolicy absencePolicy) {
        return apply(new PolicyCommand.Propose(
                changeId,
                baseEpoch,
                "d" + changeId,
                "text of " + changeId,
                "op",
                "why",
                absencePolicy));
    }

    private void enrol(String... routers) {
        for (String router : routers) {
            assertEquals("", apply(new PolicyCommand.Enrol(router, router + ".1", 1)));
        }
    }

    private String voteYes(String changeId, String router, long boundUntilUs) {
        return apply(new PolicyCommand.VoteYes(changeId, router, router + ".1", boundUntilUs));
    }

    private String commit(String changeId, long effectiveAtUs) {
        apply(new PolicyCommand.ConfirmProposal(changeId, 1000));
        return apply(new PolicyCommand.Commit(changeId, effectiveAtUs));
    }

    @Test
    void commitsOnceAllRoutersAcceptAndNoEarlierThanTheirVotesBind() {
        enrol("a", "b");
        assertEquals("", propose("c1", 0, WAIT));
        assertEquals("", voteYes("c1", "a", 5000));
        assertEquals("it may not take hold then", commit("c1", 9000));
        assertEquals(List.of("b"), changes.pendingRouters());
        assertEquals("", voteYes("c1", "b", 5600));
        assertEquals("it may not take hold then", commit("c1", 5619));
        assertEquals("", commit("c1", 5620));
        assertEquals(1, changes.inForce().epoch());
        assertEquals("that change is settled", apply(new PolicyCommand.Commit("c1", 9000)));
        assertEquals(
                "it is in force: undo it by another change",
                apply(new PolicyCommand.Abort("c1", "no")));
        assertEquals(5620, changes.change("c1").effectiveAtUs());
    }

    @Test
    void withdrawalIsFinalAndProposingTwiceIsIdempotent() {
        enrol("a");
        assertEquals("", propose("c1", 0, WAIT));
        assertEquals("", propose("c1", 0, WAIT));
        assertTrue(apply(new PolicyCommand.Propose("c1", 0, "other", "x", "op", "why", WAIT))
                .contains("that id"));
        assertEquals("another change is open: c1", propose("c2", 0, WAIT));
        assertEquals("", apply(new PolicyCommand.VoteNo("c1", "a", "a.1", "too small")));
        assertEquals(Optional.of("a: too small"), changes.commitRule().firstRejection());
        assertEquals("it may not take hold then", commit("c1", 99_000));
        assertEquals("", apply(new PolicyCommand.Abort("c1", "refused")));
        assertEquals("that change is settled", voteYes("c1", "a", 5000));
        assertEquals("", propose("c1", 0, WAIT), "the change is known and stays withdrawn");
        assertEquals(PolicyChange.State.WITHDRAWN, changes.change("c1").state());
        assertEquals("it is written against epoch 4, and 0 is in force", propose("c2", 4, WAIT));
    }

    @Test
    void restartedRouterIsUnboundAndLateVotesOfItsEarlierIncarnationAreRejected() {
        enrol("a");
        propose("c1", 0, WAIT);
        voteYes("c1", "a", 5000);
        assertEquals("", apply(new PolicyCommand.Enrol("a", "a.2", 2)));
        assertEquals("it may not take hold then", commit("c1", 9000));
        assertEquals(
                "a later life of that router is enrolled",
                apply(new PolicyCommand.Enrol("a", "a.1", 1)));
        assertEquals("that router is not enrolled", voteYes("c1", "a", 7000));
        assertEquals("", apply(new PolicyCommand.VoteYes("c1", "a", "a.2", 7000)));
        assertEquals("", commit("c1", 7020));
    }

    @Test
    void absentRoutersBlockTheCommitUntilTheirLeasesHaveExpired() {
        changes = new PolicyChanges(3, 10, FENCE);
        enrol("a", "absent");
        propose("c1", 0, FENCE);
        voteYes("c1", "a", 1100);
        assertEquals("it may not take hold then", commit("c1", 2519));
        assertEquals(
                "", commit("c1", 2520), "confirmed at 1000, a lease of 1500, a clock error of 20");
        // The next change can't be committed before the effective time of this one.
        propose("c2", 1, FENCE);
        voteYes("c2", "a", 3000);
        apply(new PolicyCommand.Leave("absent", "absent.1"));
        assertEquals("it may not take hold then", commit("c2", 9000));
        apply(new PolicyCommand.ConfirmProposal("c2", 2540));
        assertEquals("", apply(new PolicyCommand.Commit("c2", 9000)));
    }

    private final List<PolicyCommand> sentCommands = new ArrayList<>();

    private EffectivePolicy effectivePolicy(
            ChangeParticipant participant, long sharedTimeUs, long localTimeUs) {
        participant.updateClocks(sharedTimeUs, localTimeUs);
        participant.decide(changes, sentCommands::add);
        return participant.effectivePolicy(changes);
    }

    @Test
    void routerIsBoundByItsFirstVoteUntilALaterOneIsKnown() {
        ChangeParticipant participant = new ChangeParticipant("a", "a.1", 1, 100, change -> "");
        assertFalse(effectivePolicy(participant, 0, 0).isPresent(), "not enrolled yet");
        enrol("a");
        assertEquals(0, effectivePolicy(participant, 100, 100).epoch());
        propose("c1", 0, WAIT);
        assertEquals(0, effectivePolicy(participant, 1000, 1000).epoch());
        assertEquals(0, effectivePolicy(participant, 1500, 1500).epoch());
        assertFalse(
                effectivePolicy(participant, 1600, 1600).isPresent(),
                "the vote of 1000 may be the last one in the log");
        apply(sentCommands.get(sentCommands.size() - 1));
        assertTrue(
                effectivePolicy(participant, 1650, 1650).isPresent(),
                "a later vote is known to be in the log");
        assertFalse(
                effectivePolicy(participant, 900, 2300).isPresent(),
                "the vote has expired on the local clock, although the shared clock was set back");
        apply(new PolicyCommand.ConfirmProposal("c1", 3000));
        assertEquals("", apply(new PolicyCommand.Commit("c1", 4000)));
        assertEquals(0, effectivePolicy(participant, 3990, 3990).epoch());
        assertEquals(1, effectivePolicy(participant, 4000, 4000).epoch());
        assertEquals(
                1,
                effectivePolicy(participant, 3000, 4010).epoch(),
                "the version stays in force although the shared clock was set back");
    }

    @Test
    void routerServesNothingWithoutALeaseNorByAPolicyItCannotUse() {
        changes = new PolicyChanges(3, 10, FENCE);
        enrol("a");
        ChangeParticipant participant = new ChangeParticipant(
                "a",
                "a.1",
                1,
                100,
                change -> change.changeId().equals("big") ? "too large for this machine" : "");
        assertFalse(effectivePolicy(participant, 0, 0).isPresent());
        participant.leaseGranted(0, 1500);
        assertTrue(effectivePolicy(participant, 1499, 1499).isPresent());
        assertFalse(effectivePolicy(participant, 1500, 1500).isPresent());
        propose("big", 0, FENCE);
        effectivePolicy(participant, 1500, 1500);
        assertInstanceOf(PolicyCommand.VoteNo.class, sentCommands.get(sentCommands.size() - 1));
        apply(new PolicyCommand.ConfirmProposal("big", 1500));
        // The commit doesn't need the router's vote, since the router's lease has expired by then.
        apply(new PolicyCommand.Commit("big", 3020));
        participant.leaseGranted(3000, 1500);
        assertTrue(
                effectivePolicy(participant, 3020, 3020).unavailableReason().contains("too large"),
                effectivePolicy(participant, 3020, 3020).unavailableReason());
    }
}
