/**
 * The decision module of a query router, with all of its decisions and their constants. The module does no
 * input or output: the host passes in the time, random seeds and inputs, and pulls the decisions.
 *
 * <p>Hosts call {@link tinlink.decision.QueryCoordinator} and implement
 * {@link tinlink.decision.DecisionHandler}, which carries out the decisions. The lifecycle of a lookup is in
 * {@link tinlink.decision.FastestValidCoordinator}. {@link tinlink.decision.RetryPlanner} and
 * {@link tinlink.decision.AttemptDispatcher} make its attempts, {@link tinlink.decision.ReplicaSelector}
 * selects their data nodes, and {@link tinlink.decision.ReplicaHealth} records how the data nodes perform.
 * {@code docs/design.md} gives the reasons.
 */
package tinlink.decision;
