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
 * Forwards proposals, reports and requests for the commit index to the leader, and answers those of other
 * routers while this router leads. Messages may get lost; the callers retry. Event loop's thread only.
 */
final class LeaderRequests {
    /** Proposals that may await their answer at a time; beyond it, the oldest one fails. */
    private static final int MAX_PENDING_PROPOSALS = 256;

    private final EventLoop loop;
    private final String localRouter;
    private final VoterLifecycle voter;
    private final KnownLeader leader;
    private final NodeMessageSender sender;
    /** Callbacks by proposal id; each is removed with the answer. */
    private final Map<Long, BiConsumer<String, String>> pendingProposals = new LinkedHashMap<>();

    private long lastProposalId;
    /** The callback of the latest request; an answer to an earlier request is ignored. */
    private LongConsumer commitIndexListener = index -> {};

    private long lastConfirmId;
    private BiConsumer<String, String> reportListener = (sender, line) -> {};

    /** @param localRouter this router's name */
    LeaderRequests(
            EventLoop loop,
            String localRouter,
            VoterLifecycle voter,
            KnownLeader leader,
            NodeMessageSender sender) {
        this.loop = loop;
        this.localRouter = localRouter;
        this.voter = voter;
        this.leader = leader;
        this.sender = sender;
    }

    /** Sets the listener that receives each report with its sender's name, on the leader only. */
    void setReportListener(BiConsumer<String, String> listener) {
        reportListener = listener;
    }

    /**
     * Proposes a line, through the leader if another router leads.
     *
     * @param onResult receives the state machine's reply and null, or null and the reason why it is not
     *     known whether the line was committed
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
                    response.isCommitted() ? response.text() : null,
                    response.isCommitted() ? null : response.text());
        }
    }

    /**
     * Requests the commit index, confirmed by a majority.
     *
     * @param onIndex receives the index; never called if a message is lost, no leader is known, or a later
     *     call replaces this one while another router leads
     */
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

    void onConfirmRequest(String requester, ConfirmRequest request) {
        if (voter.isLeader()) {
            voter.replica()
                    .confirmCommitIndex((index, failure) -> loop.execute(() -> {
                        if (failure == null) {
                            sender.send(requester, new ConfirmResponse(request.requestId(), index));
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
            reportListener.accept(localRouter, line);
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
