package tinlink.router;

import tinlink.decision.Attempt;
import tinlink.decision.DataNode;
import tinlink.decision.DecisionHandler;
import tinlink.decision.Lookup;
import tinlink.decision.Outcome;
import tinlink.decision.Part;
import tinlink.decision.QueryCoordinator;
import tinlink.net.EventLog;
import tinlink.net.EventLoop;
import tinlink.net.EventLoopParticipant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;

/**
 * Drives the decision module in each turn: its clock, its inputs, its decisions, and then the actions that
 * these ask for.
 */
final class DecisionDriver implements DecisionHandler, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.decisions");
    private final EventLoop loop;
    private final QueryCoordinator module;
    /** Queries in flight; each leaves with its response or its client. */
    private final Map<String, Query> queries = new HashMap<>();
    /**
     * Ids of queries that are over, and since when; each leaves after the time that a client waits
     * at most.
     */
    private final Map<String, Long> recentCallIds = new LinkedHashMap<>();

    private final long callIdRetentionUs;
    /** Queries with inputs in this turn; emptied at its end. */
    private final Set<Query> queriesWithInput = new LinkedHashSet<>();
    /** What this turn's decisions ask for; emptied at its end. */
    private final List<Runnable> pendingActions = new ArrayList<>();

    private int partsInFlight;
    private boolean isCarryingOut;
    private final long maxRetryAfterUs;
    private AttemptDispatcher dispatcher;
    private Runnable followEndpointList;
    /** What else decides in each turn, beside the module; null where nothing does. */
    private EventLoopParticipant beside;
    /** Work on machines; null where it is off. */
    private EventLoopParticipant also;

    /** @param maxRetryAfterUs the longest Retry-After that clients are given */
    DecisionDriver(
            EventLoop loop, QueryCoordinator module, long callIdRetentionUs, long maxRetryAfterUs) {
        this.loop = loop;
        this.callIdRetentionUs = callIdRetentionUs;
        this.maxRetryAfterUs = maxRetryAfterUs;
        this.module = module;
    }

    void connect(AttemptDispatcher dispatcher, Runnable followEndpointList) {
        this.dispatcher = dispatcher;
        this.followEndpointList = followEndpointList;
    }

    void beside(EventLoopParticipant participant) {
        beside = participant;
    }

    void also(EventLoopParticipant participant) {
        also = participant;
    }

    // ---- Inputs. ----

    @Override
    public void turnStarted(long nowUs) {
        module.advanceClock(nowUs);
        if (beside != null) {
            beside.turnStarted(nowUs);
        }
        if (also != null) {
            also.turnStarted(nowUs);
        }
    }

    /**
     * Danger: a lookup that takes the id of another, in hand or just over, would run parts that
     * data nodes take for those of the other.
     */
    boolean isKnownCallId(String callId) {
        long expiredUs = loop.nowUs() - callIdRetentionUs;
        for (Iterator<Long> at = recentCallIds.values().iterator();
                at.hasNext() && at.next() <= expiredUs; ) {
            at.remove();
        }
        return queries.containsKey(callId) || recentCallIds.containsKey(callId);
    }

    /** Lookups and parts in flight. */
    int inFlight() {
        return queries.size() + partsInFlight;
    }

    void admit(Query query) {
        List<Part> allParts = query.parts;
        query.parts = new ArrayList<>(allParts.size());
        queries.put(query.callId, query);
        partsInFlight += query.announcedParts;
        queriesWithInput.add(query);
        module.onLookup(query);
        allParts.forEach(module::onPart);
    }

    void clientGone(Query query) {
        forget(query);
        try {
            if (!query.isEnded) {
                module.onClientGone(query);
            }
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "decision_failed", e, "step", "client_gone");
        }
    }

    /**
     * What ends while decisions are carried out is an input of the next turn. No report is passed
     * on.
     */
    void outcome(SentAttempt sent, Outcome outcome) {
        outcome(sent, outcome, loop.nowUs() - sent.attempt.sentAtUs);
    }

    /** @param tookUs without what a line to another site took; below 0 where it says nothing */
    void outcome(SentAttempt sent, Outcome outcome, long tookUs) {
        applyInput(m -> {
            if (sent.attempt.outcome == null) {
                queriesWithInput.add(sent.part().query());
                m.onOutcome(sent.attempt, outcome, tookUs, -1);
            }
        });
    }

    void applyInput(Consumer<QueryCoordinator> input) {
        if (isCarryingOut) {
            loop.execute(() -> input.accept(module));
        } else {
            input.accept(module);
        }
    }

    // ---- Decisions. ----

    @Override
    public void turnEnding() {
        besides(); // What has come over the lines is an input of this turn.
        // Danger: a fault in the module would come back at every pull. First the lookups with
        // inputs in this
        // turn are given up, then all; each as failed, since some part of it may have run.
        if (!pullDecisions(queriesWithInput)) {
            pullDecisions(queries.values());
        }
        queriesWithInput.clear();
        isCarryingOut = true;
        for (int i = 0; i < pendingActions.size(); i++) {
            try {
                pendingActions.get(i).run();
            } catch (RuntimeException e) {
                LOG.logFailure(Level.SEVERE, "action_failed", e);
            }
        }
        pendingActions.clear();
        dispatcher.flush();
        besides();
        isCarryingOut = false;
        alsoDecides();
    }

    /** Danger: a fault there must not keep the module from deciding. */
    private void besides() {
        try {
            if (beside != null) {
                beside.turnEnding();
            }
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "participant_failed", e);
        }
    }

    /** What it changes of the list is an input of the next turn's decisions. */
    private void alsoDecides() {
        try {
            if (also != null) {
                also.turnEnding();
            }
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "participant_failed", e);
        }
    }

    /**
     * Pulls decisions until there is none; false after a fault, for which these lookups have been
     * ended.
     */
    private boolean pullDecisions(Collection<Query> affected) {
        try {
            while (module.decide(this)) {
                // Each decision has been noted as it left.
            }
            return true;
        } catch (RuntimeException e) {
            LOG.logFailure(
                    Level.SEVERE,
                    "decision_failed",
                    e,
                    "step",
                    "decide",
                    "lookups",
                    affected.size());
            for (Query query : List.copyOf(affected)) {
                clientGone(query);
                query.listener.onFailure(query);
            }
            return false;
        }
    }

    private void forget(Query query) {
        if (queries.remove(query.callId, query)) {
            partsInFlight -= query.announcedParts;
            recentCallIds.put(query.callId, loop.nowUs());
        }
    }

    @Override
    public void send(Attempt attempt, long timeoutUs) {
        long deadlineUs = loop.nowUs() + timeoutUs;
        pendingActions.add(() -> dispatcher.send(attempt, deadlineUs));
    }

    @Override
    public void cancel(Attempt attempt) {
        pendingActions.add(() -> dispatcher.cancel(attempt));
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        pendingActions.add(() -> dispatcher.release(node));
    }

    @Override
    public void answer(Lookup lookup, boolean isComplete) {
        finish(lookup, query -> query.listener.onAnswer(query, isComplete));
    }

    @Override
    public void reject(Lookup lookup, long retryAfterUs) {
        // A far router's advice counts too, where advice is given at all.
        finish(
                lookup,
                query -> query.listener.onRejection(
                        query,
                        retryAfterUs <= 0
                                ? retryAfterUs
                                : Math.max(
                                        retryAfterUs,
                                        Math.min(query.remoteRetryAfterUs, maxRetryAfterUs))));
    }

    @Override
    public void abort(Lookup lookup) {
        finish(lookup, query -> query.listener.onAbort(query));
    }

    private void finish(Lookup lookup, Consumer<Query> response) {
        Query query = (Query) lookup;
        forget(query);
        pendingActions.add(() -> response.accept(query));
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(atUs, module::onTimer);
    }

    @Override
    public void subscribeToEndpointList() {
        pendingActions.add(followEndpointList);
    }
}
