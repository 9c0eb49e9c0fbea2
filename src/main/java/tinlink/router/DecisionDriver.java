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
 * Drives the decision module in each turn of the event loop, on its thread: passes the clock and the inputs
 * on, pulls decisions until there is none, and only then carries them out. What ends while they are carried
 * out is an input of the next turn.
 */
final class DecisionDriver implements DecisionHandler, EventLoopParticipant {
    private static final EventLog LOG = new EventLog("tinlink.decisions");

    private final EventLoop loop;
    private final QueryCoordinator module;
    private final QueriesInFlight queries;
    private final long maxRetryAfterUs;
    /** Queries with inputs in this turn; emptied at its end. */
    private final Set<Query> queriesWithInput = new LinkedHashSet<>();
    /** What this turn's decisions ask for; emptied at its end. */
    private final List<Runnable> pendingActions = new ArrayList<>();
    /**
     * Those who decide before the module, whose inputs count in the same turn, and again once its attempts
     * are sent. One may leave while they are called.
     */
    private final List<EventLoopParticipant> aroundDecisions = new CopyOnWriteArrayList<>();
    /** Those who decide last; what they change is an input of the next turn's decisions. */
    private final List<EventLoopParticipant> afterDecisions = new ArrayList<>();

    private boolean isCarryingOut;
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

    /** Where decisions are carried out; called once, before the first turn. */
    void connect(AttemptDispatcher dispatcher, Runnable followEndpointList) {
        this.dispatcher = dispatcher;
        this.followEndpointList = followEndpointList;
    }

    /** From now on this one decides before the module and again once its attempts are sent. */
    void addAroundDecisions(EventLoopParticipant participant) {
        aroundDecisions.add(participant);
    }

    void removeAroundDecisions(EventLoopParticipant participant) {
        aroundDecisions.remove(participant);
    }

    /** From now on this one decides last in each turn. */
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
     * Danger: a lookup that takes the id of another, in flight or just ended, would run parts that data nodes
     * take for those of the other.
     */
    boolean isKnownCallId(String callId) {
        return queries.isKnown(callId, loop.nowUs());
    }

    /** Lookups and parts in flight. */
    int inFlight() {
        return queries.size();
    }

    void admit(Query query) {
        List<Part> allParts = query.parts;
        query.parts = new ArrayList<>(allParts.size());
        queries.add(query);
        queriesWithInput.add(query);
        module.onLookup(query);
        allParts.forEach(module::onPart);
    }

    void clientGone(Query query) {
        queries.remove(query, loop.nowUs());
        try {
            if (!query.isEnded) {
                module.onClientGone(query);
            }
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "decision_failed", e, "step", "client_gone");
        }
    }

    /**
     * What ends while decisions are carried out is an input of the next turn. No load report is passed on.
     */
    void outcome(SentAttempt sent, Outcome outcome) {
        outcome(sent, outcome, loop.nowUs() - sent.attempt.sentAtUs);
    }

    /** @param tookUs without what the way to another site took; below 0 where it says nothing */
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
        letDecide(aroundDecisions); // What has come from other sites is an input of this turn.
        // Danger: a fault in the module would come back at every pull. First the lookups with
        // inputs in this turn are
        // given up, then all; each as failed, since some part of it may have run.
        if (!pullDecisions(queriesWithInput)) {
            pullDecisions(queries.all());
        }
        queriesWithInput.clear();
        isCarryingOut = true;
        carryOut();
        dispatcher.flush();
        letDecide(aroundDecisions);
        isCarryingOut = false;
        letDecide(afterDecisions);
    }

    /** Danger: a fault in one of them must not keep the module from deciding. */
    private static void letDecide(List<EventLoopParticipant> participants) {
        try {
            participants.forEach(EventLoopParticipant::turnEnding);
        } catch (RuntimeException e) {
            LOG.logFailure(Level.SEVERE, "participant_failed", e);
        }
    }

    /** Pulls decisions until there is none; false after a fault, for which these lookups have been ended. */
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

    private void carryOut() {
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
                query -> query.listener.onRejection(query, withRemoteAdvice(query, retryAfterUs)));
    }

    /** The advice of a router of another site counts too, where advice is given at all. */
    private long withRemoteAdvice(Query query, long retryAfterUs) {
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
