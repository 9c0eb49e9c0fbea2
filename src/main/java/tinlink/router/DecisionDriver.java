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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.logging.Level;

/**
 * Runs the decision module in each turn of the event loop, on the thread of the loop: passes the time and the
 * inputs to the module, pulls all decisions, and only then executes them. Attempts that end during the
 * execution are inputs of the next turn.
 */
final class DecisionDriver implements DecisionHandler, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.decisions");

    private final EventLoop loop;
    private final QueryCoordinator module;
    private final QueriesInFlight queries;
    /** The longest Retry-After that clients are given, in microseconds. */
    private final long maxRetryAfterUs;
    /** The queries with inputs in this turn; emptied at the end of the turn. */
    private final Set<Query> queriesWithInput = new LinkedHashSet<>();
    /** The actions that this turn's decisions ask for; emptied at the end of the turn. */
    private final List<Runnable> pendingActions = new ArrayList<>();
    /**
     * Participants that run before the module, which sees their inputs in the same turn, and again once its
     * attempts are sent. A participant may be removed during the iteration.
     */
    private final List<EventLoopParticipant> aroundDecisions = new CopyOnWriteArrayList<>();
    /** Participants that run last; their changes are inputs of the next turn. */
    private final List<EventLoopParticipant> afterDecisions = new ArrayList<>();

    /** Whether decisions are being executed, so that inputs wait for the next turn. */
    private boolean executing;

    private AttemptDispatcher dispatcher;
    private Runnable followEndpointList;

    /**
     * @param callIdRetentionUs for how long the call id of a query that has ended is not admitted again
     * @param maxRetryAfterUs the longest Retry-After that clients are given
     */
    DecisionDriver(
            EventLoop loop, QueryCoordinator module, long callIdRetentionUs, long maxRetryAfterUs) {
        this.loop = loop;
        this.module = module;
        this.maxRetryAfterUs = maxRetryAfterUs;
        queries = new QueriesInFlight(callIdRetentionUs);
    }

    /** Sets the executors of the decisions; called once, before the first turn. */
    void connect(AttemptDispatcher dispatcher, Runnable followEndpointList) {
        this.dispatcher = dispatcher;
        this.followEndpointList = followEndpointList;
    }

    /** Adds a participant that runs before the module and again once its attempts are sent. */
    void addAroundDecisions(EventLoopParticipant participant) {
        aroundDecisions.add(participant);
    }

    void removeAroundDecisions(EventLoopParticipant participant) {
        aroundDecisions.remove(participant);
    }

    /** Adds a participant that runs last in each turn. */
    void addAfterDecisions(EventLoopParticipant participant) {
        afterDecisions.add(participant);
    }

    // ---- Inputs. ----

    @Override
    public void turnStarted(long nowUs) {
        module.advanceClock(nowUs);
        aroundDecisions.forEach(participant -> participant.turnStarted(nowUs));
        afterDecisions.forEach(participant -> participant.turnStarted(nowUs));
    }

    /**
     * Whether the call id belongs to a lookup that is in flight or has just ended. Data nodes would take the
     * parts of a second lookup with that id for parts of the first.
     */
    boolean isKnownCallId(String callId) {
        return queries.isKnown(callId, loop.nowUs());
    }

    /** The number of queries in flight: lookups of clients and forwarded parts. */
    int inFlight() {
        return queries.size();
    }

    /** Passes a new query and its parts to the module. */
    void admit(Query query) {
        List<Part> allParts = query.parts;
        query.parts = new ArrayList<>(allParts.size());
        queries.add(query);
        queriesWithInput.add(query);
        module.onLookup(query);
        allParts.forEach(module::onPart);
    }

    /** Drops a query whose client or forwarding router does not want the answer any more. */
    void clientGone(Query query) {
        queries.remove(query, loop.nowUs());
        try {
            if (!query.ended) {
                module.onClientGone(query);
            }
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "decision_failed", e, "step", "client_gone");
        }
    }

    /**
     * Passes an outcome to the module, with the time since the attempt was sent. Load reports are not
     * passed on.
     */
    void outcome(SentAttempt sent, Outcome outcome) {
        outcome(sent, outcome, loop.nowUs() - sent.attempt.sentAtUs);
    }

    /**
     * Passes an outcome to the module.
     *
     * @param tookUs the duration of the attempt without the transit to another site, in microseconds;
     *     negative if unknown
     */
    void outcome(SentAttempt sent, Outcome outcome, long tookUs) {
        applyInput(coordinator -> {
            if (sent.attempt.outcome == null) {
                queriesWithInput.add(sent.part().query());
                coordinator.onOutcome(sent.attempt, outcome, tookUs, -1);
            }
        });
    }

    /** Applies an input to the module, in the next turn if decisions are being executed. */
    void applyInput(Consumer<QueryCoordinator> input) {
        if (executing) {
            loop.execute(() -> input.accept(module));
        } else {
            input.accept(module);
        }
    }

    // ---- Decisions. ----

    @Override
    public void turnEnding() {
        endTurn(aroundDecisions); // Input from other sites counts in this turn.
        // A fault in the module would recur at every pull. The first fault of a turn ends the
        // lookups with inputs in this turn, the second ends all lookups. They end as failed, since
        // some of their parts may have run.
        if (!pullDecisions(queriesWithInput)) {
            pullDecisions(queries.all());
        }
        queriesWithInput.clear();
        executing = true;
        executePending();
        dispatcher.flush();
        endTurn(aroundDecisions);
        executing = false;
        endTurn(afterDecisions);
    }

    /** Ends the turn of the participants. Their faults must not prevent the module from deciding. */
    private static void endTurn(List<EventLoopParticipant> participants) {
        try {
            participants.forEach(EventLoopParticipant::turnEnding);
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "participant_failed", e);
        }
    }

    /**
     * Pulls decisions until there are none.
     *
     * @param affected the queries that end as failed if the module throws
     * @return false after a fault
     */
    private boolean pullDecisions(Collection<Query> affected) {
        try {
            while (module.decide(this)) {
                // The module has passed the decision to this handler.
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

    private void executePending() {
        for (int i = 0; i < pendingActions.size(); i++) {
            try {
                pendingActions.get(i).run();
            } catch (RuntimeException e) {
                LOG.logFailure(Level.SEVERE, "action_failed", e);
            }
        }
        pendingActions.clear();
    }

    @Override
    public void send(Attempt attempt, long timeoutUs) {
        long deadlineUs = loop.nowUs() + timeoutUs;
        ((QueryPart) attempt.part).query().attempted = true;
        pendingActions.add(() -> dispatcher.send(attempt, deadlineUs));
    }

    @Override
    public void cancel(Attempt attempt) {
        pendingActions.add(() -> dispatcher.cancel(attempt));
    }

    @Override
    public void closeIdleConnections(DataNode node) {
        pendingActions.add(() -> dispatcher.closeIdleConnections(node));
    }

    @Override
    public void answer(Lookup lookup, boolean isComplete) {
        finish(lookup, query -> query.listener.onAnswer(query, isComplete));
    }

    @Override
    public void reject(Lookup lookup, long retryAfterUs) {
        finish(
                lookup,
                query -> query.listener.onRejection(
                        query, withRemoteRetryAfter(query, retryAfterUs)));
    }

    /**
     * The larger of the own Retry-After and the one received from routers of other sites, within the maximum.
     * If the module advises none, none is given.
     */
    private long withRemoteRetryAfter(Query query, long retryAfterUs) {
        return retryAfterUs <= 0
                ? retryAfterUs
                : Math.max(retryAfterUs, Math.min(query.remoteRetryAfterUs, maxRetryAfterUs));
    }

    @Override
    public void abort(Lookup lookup) {
        finish(lookup, query -> query.listener.onAbort(query));
    }

    private void finish(Lookup lookup, Consumer<Query> response) {
        Query query = (Query) lookup;
        queries.remove(query, loop.nowUs());
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
