package tinlink.cluster;

import tinlink.cluster.NodeMessage.ConfirmRequest;
import tinlink.cluster.NodeMessage.ConfirmResponse;
import tinlink.cluster.NodeMessage.Propose;
import tinlink.cluster.NodeMessage.Proposed;
import tinlink.cluster.NodeMessage.Report;
import tinlink.net.EventLoop;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * Passes proposals, reports and requests for the commit index on to the leader, and answers them where this
 * router leads. What is sent may get lost; whoever asks asks again. Event loop's thread only.
 */
final class LeaderRequests {
    /** Proposals that wait for their answer; the oldest is given up for a further one. */
    private static final int MAX_PENDING_PROPOSALS = 256;

    private final EventLoop loop;
    private final String router;
    private final VoterLifecycle voter;
    private final KnownLeader leader;
    private final NodeMessageSender sender;
    private final Map<Long, BiConsumer<String, String>> pendingProposals = new LinkedHashMap<>();
    private long lastProposalId;
    /** Of the newest request alone. */
    private LongConsumer commitIndexListener = index -> {};

    private long lastConfirmId;
    private BiConsumer<String, String> reportListener = (sender, line) -> {};

    /** @param router this router's name */
    LeaderRequests(
            EventLoop loop,
            String router,
            VoterLifecycle voter,
            KnownLeader leader,
            NodeMessageSender sender) {
        this.loop = loop;
        this.router = router;
        this.voter = voter;
        this.leader = leader;
        this.sender = sender;
    }

    /** Receives reports with their senders' names, on the leader alone. */
    void setReportListener(BiConsumer<String, String> listener) {
        reportListener = listener;
    }

    /**
     * @param onResult the state machine's reply with null, or null with why it is not known to be agreed on
     */
    void propose(String line, BiConsumer<String, String> onResult) {
        if (voter.isLeader()) {
            voter.replica()
                    .propose(
                            line,
                            (reply, failure) -> loop.execute(() -> onResult.accept(
                                    reply, failure == null ? null : failure.toString())));
            return;
        }
        if (!leader.isKnown()) {
            onResult.accept(null, "nobody is known to lead");
            return;
        }
        long proposalId = ++lastProposalId;
        pendingProposals.put(proposalId, onResult);
        if (pendingProposals.size() > MAX_PENDING_PROPOSALS) {
            BiConsumer<String, String> oldest =
                    pendingProposals.remove(pendingProposals.keySet().iterator().next());
            oldest.accept(null, "it was not answered");
        }
        sender.send(leader.router(), new Propose(proposalId, line));
    }

    void onPropose(String proposer, Propose request) {
        long proposalId = request.proposalId();
        if (!voter.isLeader()) {
            sender.send(proposer, new Proposed(proposalId, false, "it does not lead"));
            return;
        }
        voter.replica()
                .propose(
                        request.line(),
                        (reply, failure) -> loop.execute(() -> sender.send(
                                proposer,
                                new Proposed(
                                        proposalId,
                                        failure == null,
                                        failure == null
                                                ? String.valueOf(reply)
                                                : failure.toString()))));
    }

    void onProposed(Proposed response) {
        BiConsumer<String, String> onResult = pendingProposals.remove(response.proposalId());
        if (onResult != null) {
            onResult.accept(
                    response.isAgreed() ? response.text() : null,
                    response.isAgreed() ? null : response.text());
        }
    }

    /** @param onIndex may never be called; it is for the newest call alone where another router leads */
    void confirmCommitIndex(LongConsumer onIndex) {
        if (voter.isLeader()) {
            voter.replica()
                    .confirmCommitIndex((index, failure) -> loop.execute(() -> {
                        if (failure == null) {
                            onIndex.accept(index);
                        }
                    }));
        } else if (leader.isKnown()) {
            commitIndexListener = onIndex;
            sender.send(leader.router(), new ConfirmRequest(++lastConfirmId));
        }
    }

    void onConfirmRequest(String asker, ConfirmRequest request) {
        if (voter.isLeader()) {
            voter.replica()
                    .confirmCommitIndex((index, failure) -> loop.execute(() -> {
                        if (failure == null) {
                            sender.send(asker, new ConfirmResponse(request.requestId(), index));
                        }
                    }));
        }
    }

    void onConfirmResponse(ConfirmResponse response) {
        if (response.requestId() == lastConfirmId) {
            commitIndexListener.accept(response.commitIndex());
        }
    }

    void report(String line) {
        if (voter.isLeader()) {
            reportListener.accept(router, line);
        } else if (leader.isKnown()) {
            sender.send(leader.router(), new Report(line));
        }
    }

    void onReport(String reporter, Report message) {
        if (voter.isLeader()) {
            reportListener.accept(reporter, message.line());
        }
    }
}
